#include "store/codec.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

TEST_CASE("base64 decoding reverses encoding for every length below 70 bytes")
{
    std::string bytes;
    for (int n = 0; n < 70; ++n) {
        const auto decoded = decodeBase64(encodeBase64(bytes));
        REQUIRE(decoded);
        CHECK(*decoded == bytes);
        bytes += static_cast<char>(n * 37);
    }
}

TEST_CASE("transactions, rows and host lists survive encoding and decoding as JSON")
{
    const Transaction transaction{.checks = {{"owner/a", 3}},
                                  .puts = {{"log/a/1", std::string("\0\xff", 2)}},
                                  .deletes = {"x"}};
    CHECK(decodeTransaction(encodeTransaction(transaction)).value() == transaction);
    const std::vector<Row> rows{{"k", "v", 9}};
    CHECK(decodeRows(encodeRows(rows)).value() == rows);
    const std::vector<HostRecord> hosts{{.host = {"worker-1"},
                                         .failureDomain = {"lowell-yard"},
                                         .rack = {"rack-1"},
                                         .endpoint = {"127.0.0.1", 7000},
                                         .condition = HostCondition::Leaving,
                                         .capacity = {32000, 128000, 1},
                                         .service = {"inspection-results"},
                                         .slots = 8,
                                         .connections = 64}};
    CHECK(decodeHosts(encodeHosts(hosts)).value() == hosts);
}

// Guards against a malformed response of the platform terminating the daemon.
TEST_CASE("malformed responses are reported as PlatformProtocol errors")
{
    CHECK(decodeRows("{").error().code == ResultCode::PlatformProtocol);
    CHECK(decodeRows(R"({"rows":[{"key":"k"}]})").error().code == ResultCode::PlatformProtocol);
    CHECK(decodeRows(R"({"rows":[{"key":"k","value":"?","version":1}]})").error().code
          == ResultCode::PlatformProtocol);
    CHECK(decodeVersions("[]").error().code == ResultCode::PlatformProtocol);
}
