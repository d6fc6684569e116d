#ifndef ACACIADEAL_DAEMON_INTERNAL_RECORDSTORE_H
#define ACACIADEAL_DAEMON_INTERNAL_RECORDSTORE_H

#include "requests/requestrecord.h"
#include "store/platform.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace acaciadeal {

/// A successful claim, which permits a daemon to run a request: the record that the platform
/// confirmed as written, and the version of its row.
struct RecordClaim
{
    RequestRecord record;
    std::uint64_t version = 0;
};

struct ClaimResult
{
    /// With Claim the request may be run. With AnswerStored the answer is in claim.record.
    ClaimDecision decision = ClaimDecision::OutcomeUnknown;
    RecordClaim claim;
};

using ClaimCallback = std::function<void(Result<ClaimResult>)>;
using RecordCallback = std::function<void(Result<std::optional<RequestRecord>>)>;

/// Stores the records of non-repeatable requests in the platform's table. A write whose outcome is
/// unknown is retried until the outcome is definite. All methods are thread-safe. Callbacks run
/// on the control thread, exactly once except for that of onSettled().
class RecordStore
{
public:
    /// Preconditions: the callbacks of @p platform run on @p control, which has one thread;
    /// @p control outlives the store.
    RecordStore(EventLoop &control, PlatformAdapter platform, DaemonId daemon);

    /// Claims the request @p id. The callback is called once the outcome is definite, however long
    /// that takes.
    /// @p isStillNeeded returns false once the request must no longer be run, and never returns
    /// true again. From then on a retry may take over a record that this claim may have written,
    /// and if the claim succeeds nevertheless, the caller must pass it to release(). Errors:
    /// PlatformUnavailable, PlatformProtocol, DeadlineExpired; nothing was claimed then.
    void claim(RequestId id, std::string fingerprint, std::function<bool()> isStillNeeded,
               ClaimCallback callback);

    /// Stores the answer. Calls @p settled once the outcome is definite; until then the write is
    /// retried.
    void complete(RequestId id, RecordClaim claim, StoredAnswer answer,
                  std::function<void()> settled);

    /// Marks a request as not run. Calls @p settled once the outcome is definite or the first
    /// attempt failed; in the latter case the write is still retried. Precondition: the request was
    /// not sent anywhere under @p claim, and will not be.
    void release(RequestId id, RecordClaim claim, std::function<void()> settled);

    /// Reads the record of @p id. Errors: PlatformUnavailable, PlatformProtocol.
    void read(const RequestId &id, RecordCallback callback);

    /// Returns the number of claims and writes whose outcome is not definite yet.
    std::size_t unsettled() const;

    /// Calls @p callback on the control thread whenever unsettled() becomes 0.
    /// Precondition: called before any other method.
    void onSettled(std::function<void()> callback);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
