#ifndef ACACIADEAL_DAEMON_INTERNAL_RECORDSTORE_H
#define ACACIADEAL_DAEMON_INTERNAL_RECORDSTORE_H

#include "requests/requestrecord.h"
#include "store/platform.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace acaciadeal {

/// Right to hand a request over: a record that was confirmed as written.
struct RecordClaim
{
    RequestRecord record;
    std::uint64_t version = 0;
};

struct ClaimResult
{
    /// With Claim the request may be handed over; with AnswerStored the answer is in claim.record.
    ClaimDecision decision = ClaimDecision::OutcomeUnknown;
    RecordClaim claim;
};

using ClaimCallback = std::function<void(Result<ClaimResult>)>;
using RecordCallback = std::function<void(Result<std::optional<RequestRecord>>)>;

/// Records of non-repeatable requests in the platform's table. A write whose outcome is unknown is
/// sent again until the outcome is definite. All methods are thread-safe; callbacks run exactly
/// once on the control thread.
class RecordStore
{
public:
    /// Preconditions: the callbacks of @p platform run on @p control, which has one thread;
    /// @p control outlives the store.
    RecordStore(EventLoop &control, PlatformAdapter platform, DaemonId daemon);

    /// Claims the request @p id. The callback waits for a definite outcome, however long that
    /// takes.
    /// @p wanted returns false once the request must no longer be handed over; it never returns
    /// true again. From then on a retry may take over what this claim may have written, and the
    /// caller passes a claim that succeeds nevertheless to release(). Errors: PlatformUnavailable,
    /// PlatformProtocol, DeadlineExpired; nothing was claimed then.
    void claim(RequestId id, std::string fingerprint, std::function<bool()> isStillNeeded,
               ClaimCallback callback);

    /// Stores the answer. Calls @p settled when the outcome is definite; until then the write is
    /// sent again.
    void complete(RequestId id, RecordClaim claim, StoredAnswer answer,
                  std::function<void()> settled);

    /// Marks a request as not run. Calls @p settled when the outcome is definite or the platform
    /// failed once; in the latter case the write is still sent again.
    /// Precondition: nothing was handed over under @p claim, and nothing will be.
    void release(RequestId id, RecordClaim claim, std::function<void()> settled);

    /// Reads the record of @p id. Errors: PlatformUnavailable, PlatformProtocol.
    void read(const RequestId &id, RecordCallback callback);

    /// Returns the number of writes whose outcome is not definite yet.
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
