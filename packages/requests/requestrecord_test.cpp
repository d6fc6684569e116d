#include "requests/requestrecord.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const std::string fingerprint = contentFingerprint("crew", {"filing"}, "defect 7");
const RequestRecord started = makeClaimedRecord(nullptr, {"entry-0"}, "t1", fingerprint);

} // namespace

// Guards against claiming a request that may not be repeated and may have run.
TEST_CASE("the state of the record determines the result of a retry")
{
    CHECK(started.state == RecordState::Started);
    CHECK(started.attempt == 1);
    CHECK(decideClaim(started, fingerprint, false) == ClaimDecision::OutcomeUnknown);
    CHECK(decideClaim(started, fingerprint, true) == ClaimDecision::Claim);

    const RequestRecord done = makeDoneRecord(started, "t2", {200, "text/plain", "filed"});
    CHECK(decideClaim(done, fingerprint, false) == ClaimDecision::AnswerStored);
    CHECK(decideClaim(done, fingerprint, true) == ClaimDecision::AnswerStored);
    CHECK(done.answer == StoredAnswer{200, "text/plain", "filed"});

    const RequestRecord notRun = makeNotRunRecord(started, "t3");
    CHECK(decideClaim(notRun, fingerprint, false) == ClaimDecision::Claim);
    const RequestRecord second = makeClaimedRecord(&notRun, {"entry-1"}, "t4", fingerprint);
    CHECK(second.attempt == 2);
    CHECK(second.daemon == DaemonId{"entry-1"});
    CHECK(second.transactionId == "t4");
    CHECK(second.state == RecordState::Started);
}

// Guards against a caller receiving the answer to other content under a reused id.
TEST_CASE("other content under the same request id is refused in every state")
{
    const std::string other = contentFingerprint("crew", {"filing"}, "defect 8");
    for (const RequestRecord &record :
         {started, makeDoneRecord(started, "t2", {}), makeNotRunRecord(started, "t3")}) {
        CHECK(decideClaim(record, other, true) == ClaimDecision::RequestIdReused);
    }
}

// Guards against two requests having the same fingerprint because their concatenated fields are
// equal.
TEST_CASE("the fingerprint depends on tenant, service and body")
{
    CHECK(fingerprint == contentFingerprint("crew", {"filing"}, "defect 7"));
    CHECK(fingerprint != contentFingerprint("crewf", {"iling"}, "defect 7"));
    CHECK(fingerprint != contentFingerprint("crew", {"filing"}, "defect 70"));
    // Daemons of different versions share the table, so the function must never change.
    CHECK(fingerprint == "0714c7e5b7cf01a46a391c8d50ee066a");
}
