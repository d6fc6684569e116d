#ifndef ACACIADEAL_REQUESTS_REQUESTRECORD_H
#define ACACIADEAL_REQUESTS_REQUESTRECORD_H

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace acaciadeal {

enum class RecordState : std::uint8_t {
    /// The request may have been handed over to an instance.
    Started,
    /// The answer is known.
    Done,
    /// The request was provably not handed over to an instance; a new attempt may claim the record.
    NotRun,
};

struct StoredAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// Durable record of a request that may not be repeated, stored in the row `request/<id>`.
struct RequestRecord
{
    RecordState state = RecordState::Started;
    DaemonId daemon;
    /// Number of times that the record was claimed.
    std::uint32_t attempt = 0;
    /// Identifies the write of this content, to find out whether a write whose answer was lost took
    /// effect.
    std::string transactionId;
    std::string fingerprint;
    StoredAnswer answer;

    friend bool operator==(const RequestRecord &, const RequestRecord &) = default;
};

/// Returns the key of the row that stores the record of @p id. Thread-safe.
std::string recordKey(const RequestId &id);

/// Returns a 128-bit fingerprint, in hexadecimal, of the content that two requests with the same id
/// must have in common. Thread-safe.
std::string contentFingerprint(const std::string &tenant, const ServiceId &service,
                               const std::string &body);

enum class ClaimDecision : std::uint8_t {
    /// The record may be claimed, by a write that is conditional on the version that was read.
    Claim,
    AnswerStored,
    OutcomeUnknown,
    RequestIdReused,
};

/// Decides how to treat a request whose record exists. @p abandonedByThisDaemon: the record is in
/// state Started because of an attempt of this daemon that has not handed the request over and
/// never will. Thread-safe.
ClaimDecision decideClaim(const RequestRecord &existing, const std::string &fingerprint,
                          bool abandonedByThisDaemon);

/// Returns the record that claims a request for @p daemon. @p existing is the record that it
/// replaces, or null for the first attempt. Precondition: decideClaim() returned Claim.
/// Thread-safe.
RequestRecord makeClaimedRecord(const RequestRecord *existing, const DaemonId &daemon,
                                const std::string &transactionId, const std::string &fingerprint);

/// Returns the record after an answer arrived. Precondition: the state is Started. Thread-safe.
RequestRecord makeDoneRecord(const RequestRecord &started, const std::string &transactionId,
                             StoredAnswer answer);

/// Returns the record after an attempt that did not hand the request over. Precondition: the state
/// is Started. Thread-safe.
RequestRecord makeNotRunRecord(const RequestRecord &started, const std::string &transactionId);

} // namespace acaciadeal

#endif
