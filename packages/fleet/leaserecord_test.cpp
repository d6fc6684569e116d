#include "fleet/internal/leaserecord.h"
#include "jobs/jobspec.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace acaciadeal;
using internal::decodeLeases;
using internal::encodeLeases;
using internal::HostRuns;
using internal::LeaseRecord;

namespace {

constexpr std::size_t noLimit = 10'000'000;

/// Returns a record of hosts with ten runs each.
LeaseRecord recordOf(int hosts)
{
    LeaseRecord record{.epoch = 7,
                       .stopped = true,
                       .recovering = milliseconds(900),
                       .sinceHeartbeat = milliseconds(300)};
    for (int n = 0; n < hosts; ++n) {
        HostRuns runs;
        for (std::uint32_t index = 0; index < 10; ++index) {
            runs[{.job = {"job-" + std::to_string(n)}, .step = 1, .index = index}] = 600'001;
        }
        record.hosts[{"h" + std::to_string(n)}] = {.remaining = milliseconds(n), .runs = runs};
        record.waiting[{.job = {"waiting-" + std::to_string(n)}}] = {
            .lastRun = 5, .waited = milliseconds(n), .down = milliseconds(2 * n)};
    }
    return record;
}

} // namespace

TEST_CASE("a lease record is decoded as it was encoded, over several rows")
{
    const LeaseRecord record = recordOf(1000);
    std::vector<std::string> rows = encodeLeases(record, noLimit);
    CHECK(rows.size() > 1);
    for (const std::string &row : rows) {
        CHECK(row.size() <= maxJobRowBytes);
    }
    std::reverse(rows.begin(), rows.end());
    const auto decoded = decodeLeases(rows);
    REQUIRE(decoded);
    CHECK(decoded->epoch == record.epoch);
    CHECK(decoded->stopped);
    CHECK(decoded->waiting == record.waiting);
    CHECK(decoded->recovering == record.recovering);
    CHECK(decoded->sinceHeartbeat == record.sinceHeartbeat);
    REQUIRE(decoded->hosts.size() == record.hosts.size());
    for (const auto &[id, lease] : record.hosts) {
        CHECK(decoded->hosts.at(id).remaining == lease.remaining);
        CHECK(decoded->hosts.at(id).runs == lease.runs);
    }
}

// A host that is missing counts as one without a lease.
TEST_CASE("a lease record with a missing row is not decoded")
{
    std::vector<std::string> rows = encodeLeases(recordOf(1000), noLimit);
    rows.pop_back();
    CHECK_FALSE(decodeLeases(rows));
}

TEST_CASE("a lease record that is too large keeps its hosts and leaves out runs")
{
    const LeaseRecord record = recordOf(1000);
    const auto decoded = decodeLeases(encodeLeases(record, 50'000));
    REQUIRE(decoded);
    CHECK(decoded->hosts.size() == record.hosts.size());
    CHECK(decoded->hosts.at({"h0"}).runs);
    CHECK_FALSE(decoded->hosts.at({"h999"}).runs);
    CHECK(decoded->waiting.size() < record.waiting.size());
}

TEST_CASE("a lease record without rows is empty")
{
    const auto decoded = decodeLeases({});
    REQUIRE(decoded);
    CHECK(decoded->epoch == 0);
    CHECK(decoded->hosts.empty());
}
