#include "settings/settingstree.h"

#include "settings/schema.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

SettingsWrite makeWrite(std::string path, std::string value, std::uint64_t expected, std::string id,
                        std::string team = "system")
{
    return {.path = std::move(path),
            .value = std::move(value),
            .expectedPathVersion = expected,
            .team = {std::move(team)},
            .requestId = {std::move(id)}};
}

SettingsEntry applyWrite(SettingsTree &tree, const SettingsWrite &write)
{
    const auto prepared = prepareWrite(tree, write);
    REQUIRE_MESSAGE(prepared.has_value(), prepared.error().message);
    const auto applied = applyEntry(tree, prepared->entry);
    REQUIRE(applied.has_value());
    return prepared->entry;
}

ResultCode writeResultCode(const SettingsTree &tree, const SettingsWrite &write)
{
    const auto prepared = prepareWrite(tree, write);
    return prepared ? ResultCode::Ok : prepared.error().code;
}

} // namespace

// Guards against a tree version that decreases or skips an entry.
TEST_CASE("only the entry with the next version is applied")
{
    SettingsTree tree;
    const auto first = applyWrite(tree, makeWrite("/system/drain_rate", "30", 0, "r1"));
    applyWrite(tree, makeWrite("/system/drain_rate", "40", 1, "r2"));
    const SettingsTree before = tree;
    CHECK(applyEntry(tree, first).value() == ApplyOutcome::Older);
    SettingsEntry future = first;
    future.version = 9;
    CHECK(applyEntry(tree, future).error().code == ResultCode::MissingEntry);
    SettingsEntry wrongPathVersion = first;
    wrongPathVersion.version = 3;
    CHECK(applyEntry(tree, wrongPathVersion).error().code == ResultCode::InvariantViolated);
    CHECK(tree == before);
    CHECK(effectiveNumber(tree, "/system/drain_rate").value() == 40);
}

// Guards against a writer overwriting a change that it has not read.
TEST_CASE("a write is checked against the version of its own path only")
{
    SettingsTree tree;
    applyWrite(tree, makeWrite("/system/drain_rate", "30", 0, "r1"));
    CHECK(writeResultCode(tree, makeWrite("/system/drain_rate", "50", 0, "r2"))
          == ResultCode::VersionConflict);
    CHECK(writeResultCode(tree, makeWrite("/system/drain_rate", "50", 2, "r2"))
          == ResultCode::VersionConflict);
    CHECK(writeResultCode(tree, makeWrite("/system/refill_rate", "50", 0, "r2")) == ResultCode::Ok);
}

// Guards against a path version being reused after a removal.
TEST_CASE("removing a value restores the default and continues the path versions")
{
    SettingsTree tree;
    applyWrite(tree, makeWrite("/system/drain_rate", "30", 0, "r1"));
    const auto removal = applyWrite(tree, makeWrite("/system/drain_rate", "null", 1, "r2"));
    CHECK(removal.value.empty());
    CHECK(effectiveNumber(tree, "/system/drain_rate").value() == 20);
    CHECK(writeResultCode(tree, makeWrite("/system/drain_rate", "50", 0, "r3"))
          == ResultCode::VersionConflict);
    CHECK(applyWrite(tree, makeWrite("/system/drain_rate", "50", 2, "r3")).pathVersion == 3);
}

// Guards against a team changing the settings of another team or of the system.
TEST_CASE("a team can write only below its own path")
{
    const SettingsTree tree;
    CHECK(writeResultCode(tree, makeWrite("/teams/crew/weight", "2", 0, "r", "crew"))
          == ResultCode::Ok);
    CHECK(writeResultCode(tree, makeWrite("/teams/crew2/weight", "2", 0, "r", "crew"))
          == ResultCode::PermissionDenied);
    CHECK(writeResultCode(tree, makeWrite("/system/drain_rate", "2", 0, "r", "crew"))
          == ResultCode::PermissionDenied);
    CHECK(writeResultCode(tree, makeWrite("/alerts/r", "{}", 0, "r", "crew"))
          == ResultCode::PermissionDenied);
    CHECK(writeResultCode(tree, makeWrite("/teams/crew/weight", "2", 0, "r", ""))
          == ResultCode::PermissionDenied);
    CHECK(writeResultCode(tree, makeWrite("/teams/crew/weight", "2", 0, "r")) == ResultCode::Ok);
}

// Guards against a repeated write being rejected or applied twice.
TEST_CASE("a write with a repeated request id returns the first outcome")
{
    SettingsTree tree;
    const auto first = applyWrite(tree, makeWrite("/system/drain_rate", "30", 0, "r1"));
    applyWrite(tree, makeWrite("/system/drain_rate", "40", 1, "r2"));
    const auto again = prepareWrite(tree, makeWrite("/system/drain_rate", "30", 0, "r1"));
    REQUIRE(again.has_value());
    CHECK(again->alreadyAccepted);
    CHECK(again->entry == first);
    CHECK(writeResultCode(tree, makeWrite("/system/drain_rate", "31", 0, "r1"))
          == ResultCode::RequestIdReused);
}

// Guards against two separate changes that together let leases lapse between renewals.
TEST_CASE("incompatible settings of different paths are rejected")
{
    SettingsTree tree;
    CHECK(writeResultCode(tree, makeWrite("/system/leases/renew_period_ms", "8000", 0, "r1"))
          == ResultCode::IncompatibleSettings);
    applyWrite(tree, makeWrite("/system/leases/lease_ms", "20000", 0, "r1"));
    applyWrite(tree, makeWrite("/system/leases/renew_period_ms", "8000", 0, "r2"));
    CHECK(writeResultCode(tree, makeWrite("/system/leases/lease_ms", "null", 1, "r3"))
          == ResultCode::IncompatibleSettings);
}

TEST_CASE("entries and snapshots are unchanged by encoding and decoding")
{
    SettingsTree tree;
    const auto entry =
        applyWrite(tree, makeWrite("/teams/crew/quota", R"({"milli_cores":4})", 0, "r1"));
    applyWrite(tree, makeWrite("/teams/crew/quota", "null", 1, "r2"));
    CHECK(decodeEntry(encodeEntry(entry)).value() == entry);
    CHECK(decodeSnapshot(encodeSnapshot(tree)).value() == tree);
}

// Guards against a corrupt stored entry or snapshot being accepted as settings.
TEST_CASE("corrupt entries and snapshots are rejected")
{
    const std::string entry = encodeEntry({.version = 1, .path = "/system/drain_rate"});
    CHECK(decodeEntry(entry.substr(0, entry.size() / 2)).error().code == ResultCode::TornEntry);
    CHECK(decodeEntry("{\"format\":9}").error().code == ResultCode::UnsupportedFormat);
    const std::string snapshot = encodeSnapshot({});
    CHECK(decodeSnapshot(snapshot.substr(0, 10)).error().code == ResultCode::CorruptSnapshot);
    CHECK(decodeSnapshot("[]").error().code == ResultCode::CorruptSnapshot);
}

// Guards against a tree whose memory grows with every write.
TEST_CASE("the number of stored request ids is bounded")
{
    SettingsTree tree;
    for (std::uint64_t n = 0; n < maxRememberedRequestIds + 10; ++n) {
        applyWrite(tree, makeWrite("/system/drain_rate", "30", n, "r" + std::to_string(n)));
    }
    CHECK(tree.accepted.size() == maxRememberedRequestIds);
    CHECK(writeResultCode(tree, makeWrite("/system/drain_rate", "30", 0, "r0"))
          == ResultCode::VersionConflict);
}

TEST_CASE("log keys sort in version order")
{
    CHECK(settingsLogKey(9) < settingsLogKey(10));
    CHECK(settingsLogKey(99) < settingsLogKey(18446744073709551615ULL));
}
