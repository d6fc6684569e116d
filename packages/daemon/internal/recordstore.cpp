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

/// Distinguishes the starts of a daemon, whose transaction ids would repeat otherwise.
std::string startNumber()
{
    std::random_device device;
    return std::to_string((std::uint64_t{device()} << 32) | device());
}

struct ClaimOperation
{
    RequestId id;
    std::string fingerprint;
    std::function<bool()> wanted;
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
        , start(startNumber())
    {
    }

    std::string nextTransaction()
    {
        const std::lock_guard lock(mutex);
        return daemon.value + "/" + start + "/" + std::to_string(++transactions);
    }

    void begin()
    {
        const std::lock_guard lock(mutex);
        ++unsettled;
    }

    void end()
    {
        std::function<void()> notify;
        {
            const std::lock_guard lock(mutex);
            if (--unsettled == 0) {
                notify = settledCallback;
            }
        }
        if (notify) {
            notify();
        }
    }

    bool isAbandoned(const std::string &transactionId)
    {
        const std::lock_guard lock(mutex);
        if (abandoned.contains(transactionId)) {
            return true;
        }
        const auto it = claiming.find(transactionId);
        return it != claiming.end() && !it->second->wanted();
    }

    void finish(const std::shared_ptr<ClaimOperation> &operation, Result<ClaimResult> result)
    {
        operation->callback(std::move(result));
        {
            const std::lock_guard lock(mutex);
            claiming.erase(operation->record.transactionId);
        }
        end();
    }

    void writeClaim(const std::shared_ptr<ClaimOperation> &operation, const Row *row,
                    const RequestRecord *existing);
    void onClaimWritten(const std::shared_ptr<ClaimOperation> &operation,
                        const Result<CommitVersions> &result);
    void resolveConflict(const std::shared_ptr<ClaimOperation> &operation);
    void writeFinal(const RequestId &id, const RecordClaim &claim, const RequestRecord &record,
                    const std::function<void()> &settled, bool reportFirstFailure);

    EventLoop &control;
    PlatformAdapter platform;
    DaemonId daemon;
    std::string start;

    std::mutex mutex;
    std::uint64_t transactions = 0;
    std::size_t unsettled = 0;
    std::function<void()> settledCallback;
    /// Claims whose outcome is awaited, by transaction id.
    std::map<std::string, std::shared_ptr<ClaimOperation>> claiming;
    /// Transaction ids of claims under which nothing was handed over and nothing will be.
    std::set<std::string> abandoned;
};

void RecordStore::Impl::writeClaim(const std::shared_ptr<ClaimOperation> &operation, const Row *row,
                                   const RequestRecord *existing)
{
    const std::string transactionId = nextTransaction();
    {
        const std::lock_guard lock(mutex);
        claiming.erase(operation->record.transactionId);
        operation->record = claimRecord(existing, daemon, transactionId, operation->fingerprint);
        claiming[transactionId] = operation;
    }
    const std::string key = recordKey(operation->id);
    // The write is never given up while its outcome is unknown: it could take effect after any
    // answer to the caller, and must then be released.
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
        finish(operation, ClaimResult{ClaimDecision::Claim,
                                      {operation->record, result->at(recordKey(operation->id))}});
        return;
    }
    if (result.error().code != ResultCode::CheckFailed) {
        finish(operation, tl::unexpected<Error>(result.error()));
        return;
    }
    resolveConflict(operation);
}

void RecordStore::Impl::resolveConflict(const std::shared_ptr<ClaimOperation> &operation)
{
    platform.read({.keys = {recordKey(operation->id)}}, [self = shared_from_this(), operation](
                                                            const Result<std::vector<Row>> &rows) {
        if (!rows) {
            self->finish(operation, failure(ResultCode::PlatformUnavailable, rows.error().message,
                                            rows.error().where));
            return;
        }
        const Row *const row = rows->empty() ? nullptr : &rows->front();
        std::optional<RequestRecord> existing;
        if (row != nullptr) {
            auto decoded = decodeRecord(row->value);
            if (!decoded) {
                self->finish(operation, tl::unexpected<Error>(decoded.error()));
                return;
            }
            existing = std::move(*decoded);
            const auto decision = decideClaim(*existing, operation->fingerprint,
                                              self->isAbandoned(existing->transactionId));
            if (decision != ClaimDecision::Claim) {
                self->finish(operation, ClaimResult{decision, {*existing, row->version}});
                return;
            }
        }
        if (!operation->wanted()) {
            self->finish(operation, failure(ResultCode::DeadlineExpired,
                                            "the deadline passed before the request was recorded"));
            return;
        }
        self->writeClaim(operation, row, existing ? &*existing : nullptr);
    });
}

void RecordStore::Impl::writeFinal(const RequestId &id, const RecordClaim &claim,
                                   const RequestRecord &record,
                                   const std::function<void()> &settled, bool reportFirstFailure)
{
    const std::string key = recordKey(id);
    // In the first round a caller may be waiting; it is answered even if the platform fails.
    auto shouldRetry = [reportFirstFailure] {
        return !reportFirstFailure;
    };
    commitWithRetry(control, platform,
                     {.checks = {{key, claim.version}}, .puts = {{key, encodeRecord(record)}}}, key,
                     {.retryDelay = retryDelay, .shouldRetry = shouldRetry},
                     [self = shared_from_this(), id, claim, record, settled,
                      reportFirstFailure](const Result<CommitVersions> &result) {
                         // After a failed check the record was settled by an earlier attempt, or a
                         // retry took it over; there is nothing left to write.
                         if (result || result.error().code == ResultCode::CheckFailed) {
                             {
                                 const std::lock_guard lock(self->mutex);
                                 self->abandoned.erase(claim.record.transactionId);
                             }
                             settled();
                             self->end();
                             return;
                         }
                         logEvent(EventId::WriteOutcomeUnknown,
                                  {{"key", recordKey(id)}, {"reason", result.error().message}});
                         if (reportFirstFailure) {
                             settled();
                         }
                         self->control.postAfter(
                             retryDelay, [self, id, claim, record, settled, reportFirstFailure] {
                                 const auto next =
                                     reportFirstFailure ? std::function<void()>([] {}) : settled;
                                 self->writeFinal(id, claim, record, next, false);
                             });
                     });
}

RecordStore::RecordStore(EventLoop &control, PlatformAdapter platform, DaemonId daemon)
    : m_impl(std::make_shared<Impl>(control, std::move(platform), std::move(daemon)))
{
}

void RecordStore::claim(RequestId id, std::string fingerprint, std::function<bool()> wanted,
                        ClaimCallback callback)
{
    auto operation = std::make_shared<ClaimOperation>();
    operation->id = std::move(id);
    operation->fingerprint = std::move(fingerprint);
    operation->wanted = std::move(wanted);
    operation->callback = std::move(callback);
    m_impl->begin();
    m_impl->control.post(
        [impl = m_impl, operation] { impl->writeClaim(operation, nullptr, nullptr); });
}

void RecordStore::complete(RequestId id, RecordClaim claim, StoredAnswer answer,
                           std::function<void()> settled)
{
    const RequestRecord record =
        doneRecord(claim.record, m_impl->nextTransaction(), std::move(answer));
    m_impl->begin();
    m_impl->control.post(
        [impl = m_impl, id = std::move(id), claim = std::move(claim), record,
         settled = std::move(settled)] { impl->writeFinal(id, claim, record, settled, false); });
}

void RecordStore::release(RequestId id, RecordClaim claim, std::function<void()> settled)
{
    const RequestRecord record = notRunRecord(claim.record, m_impl->nextTransaction());
    m_impl->begin();
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->abandoned.insert(claim.record.transactionId);
    }
    m_impl->control.post(
        [impl = m_impl, id = std::move(id), claim = std::move(claim), record,
         settled = std::move(settled)] { impl->writeFinal(id, claim, record, settled, true); });
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
    m_impl->settledCallback = std::move(callback);
}

} // namespace acaciadeal
