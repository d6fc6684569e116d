#include "daemon/internal/recordstore.h"

#include "daemon/internal/requestcodec.h"
#include "logging/log.h"
#include "runtime/eventloop.h"
#include "store/commitwithretry.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <utility>

namespace acaciadeal {
namespace {

constexpr milliseconds retryDelay(100);

/// Returns a random number for this start of the daemon. Without it, transaction ids would repeat
/// after a restart.
std::string makeStartId()
{
    std::random_device device;
    return std::to_string((std::uint64_t{device()} << 32) | device());
}

struct ClaimOperation
{
    RequestId id;
    std::string fingerprint;
    std::function<bool()> isStillNeeded;
    ClaimCallback callback;
    RequestRecord record;
};

} // namespace

struct RecordStore::Impl : std::enable_shared_from_this<RecordStore::Impl>
{
    Impl(EventLoop &eventLoop, PlatformAdapter adapter, DaemonId daemonId)
        : control(eventLoop)
        , platform(std::move(adapter))
        , daemon(std::move(daemonId))
        , startId(makeStartId())
    {
    }

    std::string nextTransactionId()
    {
        const std::lock_guard lock(mutex);
        return daemon.value + "/" + startId + "/" + std::to_string(++lastTransactionNumber);
    }

    void addUnsettled()
    {
        const std::lock_guard lock(mutex);
        ++unsettled;
    }

    void removeUnsettled()
    {
        std::function<void()> notify;
        {
            const std::lock_guard lock(mutex);
            if (--unsettled == 0) {
                notify = allSettledCallback;
            }
        }
        if (notify) {
            notify();
        }
    }

    bool isAbandoned(const std::string &transactionId)
    {
        const std::lock_guard lock(mutex);
        if (abandonedClaims.contains(transactionId)) {
            return true;
        }
        const auto it = pendingClaims.find(transactionId);
        return it != pendingClaims.end() && !it->second->isStillNeeded();
    }

    void finishClaim(const std::shared_ptr<ClaimOperation> &operation, Result<ClaimResult> result)
    {
        operation->callback(std::move(result));
        {
            const std::lock_guard lock(mutex);
            pendingClaims.erase(operation->record.transactionId);
        }
        removeUnsettled();
    }

    void writeClaim(const std::shared_ptr<ClaimOperation> &operation, const Row *row,
                    const RequestRecord *existing);
    void onClaimWritten(const std::shared_ptr<ClaimOperation> &operation,
                        const Result<CommitVersions> &result);
    void resolveConflict(const std::shared_ptr<ClaimOperation> &operation);
    void writeFinalState(const RequestId &id, const RecordClaim &claim, const RequestRecord &record,
                         const std::function<void()> &settled, bool reportFirstFailure);

    EventLoop &control;
    PlatformAdapter platform;
    DaemonId daemon;
    std::string startId;

    std::mutex mutex;
    std::uint64_t lastTransactionNumber = 0;
    std::size_t unsettled = 0;
    std::function<void()> allSettledCallback;
    /// Claims whose outcome is not known yet, by transaction id.
    std::map<std::string, std::shared_ptr<ClaimOperation>> pendingClaims;
    /// Transaction ids of claims under which the request was not sent anywhere and will not be.
    std::set<std::string> abandonedClaims;
};

void RecordStore::Impl::writeClaim(const std::shared_ptr<ClaimOperation> &operation, const Row *row,
                                   const RequestRecord *existing)
{
    const std::string transactionId = nextTransactionId();
    {
        const std::lock_guard lock(mutex);
        pendingClaims.erase(operation->record.transactionId);
        operation->record =
            makeClaimedRecord(existing, daemon, transactionId, operation->fingerprint);
        pendingClaims[transactionId] = operation;
    }
    const std::string key = recordKey(operation->id);
    // Retry the write until its outcome is known: it could take effect even after the caller
    // received a response, and the record must then be released.
    commitWithRetry(control, platform,
                    {.checks = {{key, row == nullptr ? 0 : row->version}},
                     .puts = {{key, encodeRecord(operation->record)}}},
                    key, {.retryDelay = retryDelay},
                    [self = shared_from_this(), operation](const Result<CommitVersions> &result) {
                        self->onClaimWritten(operation, result);
                    });
}

void RecordStore::Impl::onClaimWritten(const std::shared_ptr<ClaimOperation> &operation,
                                       const Result<CommitVersions> &result)
{
    if (result) {
        finishClaim(operation,
                    ClaimResult{ClaimDecision::Claim,
                                {operation->record, result->at(recordKey(operation->id))}});
        return;
    }
    if (result.error().code != ResultCode::CheckFailed) {
        finishClaim(operation, tl::unexpected<Error>(result.error()));
        return;
    }
    resolveConflict(operation);
}

void RecordStore::Impl::resolveConflict(const std::shared_ptr<ClaimOperation> &operation)
{
    platform.read({.keys = {recordKey(operation->id)}}, [self = shared_from_this(), operation](
                                                            const Result<std::vector<Row>> &rows) {
        if (!rows) {
            self->finishClaim(operation, failure(ResultCode::PlatformUnavailable,
                                                 rows.error().message, rows.error().where));
            return;
        }
        const Row *const row = rows->empty() ? nullptr : &rows->front();
        std::optional<RequestRecord> existing;
        if (row != nullptr) {
            auto decoded = decodeRecord(row->value);
            if (!decoded) {
                self->finishClaim(operation, tl::unexpected<Error>(decoded.error()));
                return;
            }
            existing = std::move(*decoded);
            const auto decision = decideClaim(*existing, operation->fingerprint,
                                              self->isAbandoned(existing->transactionId));
            if (decision != ClaimDecision::Claim) {
                self->finishClaim(operation, ClaimResult{decision, {*existing, row->version}});
                return;
            }
        }
        if (!operation->isStillNeeded()) {
            self->finishClaim(operation,
                              failure(ResultCode::DeadlineExpired,
                                      "the deadline passed before the request could be recorded"));
            return;
        }
        self->writeClaim(operation, row, existing ? &*existing : nullptr);
    });
}

void RecordStore::Impl::writeFinalState(const RequestId &id, const RecordClaim &claim,
                                        const RequestRecord &record,
                                        const std::function<void()> &settled,
                                        bool reportFirstFailure)
{
    const std::string key = recordKey(id);
    // A caller may be waiting for the first attempt; it gets a response even if the platform fails.
    auto shouldRetry = [reportFirstFailure] {
        return !reportFirstFailure;
    };
    commitWithRetry(control, platform,
                    {.checks = {{key, claim.version}}, .puts = {{key, encodeRecord(record)}}}, key,
                    {.retryDelay = retryDelay, .shouldRetry = shouldRetry},
                    [self = shared_from_this(), id, claim, record, settled,
                     reportFirstFailure](const Result<CommitVersions> &result) {
                        // A failed check means that an earlier attempt wrote the record or that a
                        // retry took it over; nothing is left to write.
                        if (result || result.error().code == ResultCode::CheckFailed) {
                            {
                                const std::lock_guard lock(self->mutex);
                                self->abandonedClaims.erase(claim.record.transactionId);
                            }
                            settled();
                            self->removeUnsettled();
                            return;
                        }
                        logEvent(EventId::WriteOutcomeUnknown,
                                 {{"key", recordKey(id)}, {"reason", result.error().message}});
                        if (reportFirstFailure) {
                            settled();
                        }
                        self->control.postAfter(
                            retryDelay, [self, id, claim, record, settled, reportFirstFailure] {
                                const auto settledAfterRetry =
                                    reportFirstFailure ? std::function<void()>([] {}) : settled;
                                self->writeFinalState(id, claim, record, settledAfterRetry, false);
                            });
                    });
}

RecordStore::RecordStore(EventLoop &control, PlatformAdapter platform, DaemonId daemon)
    : m_impl(std::make_shared<Impl>(control, std::move(platform), std::move(daemon)))
{
}

void RecordStore::claim(RequestId id, std::string fingerprint, std::function<bool()> isStillNeeded,
                        ClaimCallback callback)
{
    auto operation = std::make_shared<ClaimOperation>();
    operation->id = std::move(id);
    operation->fingerprint = std::move(fingerprint);
    operation->isStillNeeded = std::move(isStillNeeded);
    operation->callback = std::move(callback);
    m_impl->addUnsettled();
    m_impl->control.post(
        [impl = m_impl, operation] { impl->writeClaim(operation, nullptr, nullptr); });
}

void RecordStore::complete(RequestId id, RecordClaim claim, StoredAnswer answer,
                           std::function<void()> settled)
{
    const RequestRecord record =
        makeDoneRecord(claim.record, m_impl->nextTransactionId(), std::move(answer));
    m_impl->addUnsettled();
    m_impl->control.post([impl = m_impl, id = std::move(id), claim = std::move(claim), record,
                          settled = std::move(settled)] {
        impl->writeFinalState(id, claim, record, settled, false);
    });
}

void RecordStore::release(RequestId id, RecordClaim claim, std::function<void()> settled)
{
    const RequestRecord record = makeNotRunRecord(claim.record, m_impl->nextTransactionId());
    m_impl->addUnsettled();
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->abandonedClaims.insert(claim.record.transactionId);
    }
    m_impl->control.post([impl = m_impl, id = std::move(id), claim = std::move(claim), record,
                          settled = std::move(settled)] {
        impl->writeFinalState(id, claim, record, settled, true);
    });
}

void RecordStore::read(const RequestId &id, RecordCallback callback)
{
    m_impl->control.post([impl = m_impl, key = recordKey(id), callback = std::move(callback)] {
        impl->platform.read({.keys = {key}}, [callback](const Result<std::vector<Row>> &rows) {
            if (!rows) {
                callback(failure(ResultCode::PlatformUnavailable, rows.error().message,
                                 rows.error().where));
                return;
            }
            if (rows->empty()) {
                callback(std::nullopt);
                return;
            }
            auto record = decodeRecord(rows->front().value);
            if (!record) {
                callback(tl::unexpected<Error>(record.error()));
                return;
            }
            callback(std::move(*record));
        });
    });
}

std::size_t RecordStore::unsettled() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->unsettled;
}

void RecordStore::onSettled(std::function<void()> callback)
{
    m_impl->allSettledCallback = std::move(callback);
}

} // namespace acaciadeal
