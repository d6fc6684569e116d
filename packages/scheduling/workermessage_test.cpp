#include "scheduling/workermessage.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

TEST_CASE("orders and reports are unchanged after encoding and decoding")
{
    const WorkerOrders orders{
        .shard = {"lowell-yard"},
        .epoch = 3,
        .sequence = 9,
        .permit = 77,
        .lease = milliseconds(15'000),
        .starts = {{{{"a"}, 2}, TaskClass::Urgent, {1000, 512, 1}, milliseconds(5), "p", "c"}},
        .stops = {{{"b"}, 1}},
        .throttles = {{{{"c"}, 4}, 50}},
        .acknowledged = {{{"d"}, 5}}};
    CHECK(decodeOrders(encodeOrders(orders)).value() == orders);
    WorkerReport report{.bootId = "boot",
                        .epoch = 3,
                        .sequence = 9,
                        .stale = true,
                        .permit = 78,
                        .running = {{{{"a"}, 2}, 900, 400, 50}},
                        .ended = {{{{"b"}, 1}, RunOutcome::LeaseLapsed, "c1", "x"}},
                        .refused = {{{{"e"}, 1}, ResultCode::StalePermit}}};
    CHECK(decodeReport(encodeReport(report)).value() == report);
    report.leaseRemaining = milliseconds(4'000);
    CHECK(decodeReport(encodeReport(report)).value() == report);
}

// Guards against a malformed answer from a worker stopping the holder.
TEST_CASE("decoding a malformed message returns MalformedRequest")
{
    for (
        const char *const text :
        {"", "{", "[]", "{}", R"({"boot_id":1})",
         R"({"boot_id":"b","epoch":1,"sequence":1,"stale":false,"permit":1,"running":{},"ended":[],"refused":[]})",
         R"({"boot_id":"b","epoch":1,"sequence":1,"stale":false,"permit":1,"running":[],"ended":[{"task":"a","incarnation":1,"outcome":"vanished","checkpoint":"","detail":""}],"refused":[]})"}) {
        CHECK(decodeReport(text).error().code == ResultCode::MalformedRequest);
        CHECK(decodeOrders(text).error().code == ResultCode::MalformedRequest);
    }
}

// Guards against an opaque payload that is not UTF-8 stopping the holder.
TEST_CASE("invalid UTF-8 in a payload is replaced")
{
    WorkerOrders orders{.starts = {{.run = {{"a"}, 1}, .payload = "\xff"}}};
    CHECK(decodeOrders(encodeOrders(orders)).value().starts.at(0).payload == "\xef\xbf\xbd");
}

// Guards against a checkpoint name too long for any log entry, which would block the shard's log.
TEST_CASE("a checkpoint name longer than the limit is rejected")
{
    WorkerReport report{.ended = {{.run = {{"a"}, 1}}}};
    report.ended[0].checkpoint.assign(maxCheckpointNameBytes, 'c');
    CHECK(decodeReport(encodeReport(report)));
    report.ended[0].checkpoint += 'c';
    CHECK(decodeReport(encodeReport(report)).error().code == ResultCode::MalformedRequest);
}
