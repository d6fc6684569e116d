#include "requests/requestrecord.h"

#include "requests/internal/hash.h"

#include <cassert>
#include <cstdio>
#include <utility>

namespace acaciadeal {

std::string recordKey(const RequestId &id)
{
    return "request/" + id.value;
}

std::string contentFingerprint(const std::string &tenant, const ServiceId &service,
                               const std::string &body)
{
    char text[33];
    std::snprintf(
        text, sizeof text, "%016llx%016llx",
        static_cast<unsigned long long>(internal::stableHash(1, {tenant, service.value, body})),
        static_cast<unsigned long long>(internal::stableHash(2, {tenant, service.value, body})));
    return text;
}

ClaimDecision decideClaim(const RequestRecord &existing, const std::string &fingerprint,
                          bool abandonedByThisDaemon)
{
    if (existing.fingerprint != fingerprint) {
        return ClaimDecision::RequestIdReused;
    }
    switch (existing.state) {
    case RecordState::Done:
        return ClaimDecision::AnswerStored;
    case RecordState::NotRun:
        return ClaimDecision::Claim;
    case RecordState::Started:
        return abandonedByThisDaemon ? ClaimDecision::Claim : ClaimDecision::OutcomeUnknown;
    }
    return ClaimDecision::OutcomeUnknown;
}

RequestRecord makeClaimedRecord(const RequestRecord *existing, const DaemonId &daemon,
                                const std::string &transactionId, const std::string &fingerprint)
{
    assert(existing == nullptr || existing->state != RecordState::Done);
    RequestRecord record;
    record.daemon = daemon;
    record.attempt = existing == nullptr ? 1 : existing->attempt + 1;
    record.transactionId = transactionId;
    record.fingerprint = fingerprint;
    return record;
}

RequestRecord makeDoneRecord(const RequestRecord &started, const std::string &transactionId,
                             StoredAnswer answer)
{
    assert(started.state == RecordState::Started);
    RequestRecord record = started;
    record.state = RecordState::Done;
    record.transactionId = transactionId;
    record.answer = std::move(answer);
    return record;
}

RequestRecord makeNotRunRecord(const RequestRecord &started, const std::string &transactionId)
{
    assert(started.state == RecordState::Started);
    RequestRecord record = started;
    record.state = RecordState::NotRun;
    record.transactionId = transactionId;
    return record;
}

} // namespace acaciadeal
