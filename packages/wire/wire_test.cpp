#include "runtime/eventloop.h"
#include "wire/codec.h"
#include "wire/peerclient.h"
#include "wire/peerserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>

using namespace acaciadeal;

namespace {

const MemberInfo sampleMember{.daemon = {"entry-1"},
                              .incarnation = 7,
                              .failureDomain = {"lowell-yard"},
                              .http = {"127.0.0.1", 8001},
                              .peer = {"127.0.0.1", 9001}};

std::vector<PeerMessage> sampleMessages()
{
    return {
        Heartbeat{sampleMember, {sampleMember}, {"instance-3"}, 42, true},
        SettingsFetch{17},
        SettingsEntries{{{18, "/teams/wire/quota", "{}", 2, {"wire"}, {"r-1"}}}},
        ForwardedRequest{
            {"r-2"}, "mbta", "urgent", {"inspection-results"}, true, milliseconds(250), "scan"},
        ForwardedAnswer{200, "worn"},
        Refusal{{ResultCode::NoInstance, "none", "service"}},
    };
}

Result<PeerMessage> callPeer(EventLoop &loop, const Endpoint &endpoint, PeerMessage message)
{
    PeerClient client(loop);
    std::promise<Result<PeerMessage>> answer;
    client.call(endpoint, std::move(message), std::chrono::seconds(30),
                [&answer](Result<PeerMessage> result) { answer.set_value(std::move(result)); });
    return answer.get_future().get();
}

void sendRaw(const Endpoint &endpoint, const std::string &bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
}

} // namespace

TEST_CASE("each type of message survives encoding and decoding")
{
    for (const PeerMessage &message : sampleMessages()) {
        const auto frame = encodeFrame({5, message});
        REQUIRE(frame);
        const auto envelope = decodePayload(std::string_view(*frame).substr(frameHeaderBytes));
        REQUIRE(envelope);
        CHECK(envelope->correlation == 5);
        CHECK(envelope->message == message);
    }
}

// Guards against out-of-bounds reads when a truncated message is decoded.
TEST_CASE("a payload truncated by more than 8 bytes does not decode to the original message")
{
    for (const PeerMessage &message : sampleMessages()) {
        const auto frame = encodeFrame({5, message});
        REQUIRE(frame);
        const std::string payload = frame->substr(frameHeaderBytes);
        for (std::size_t n = 0; n + 8 < payload.size(); ++n) {
            const std::string prefix = payload.substr(0, n);
            const auto decoded = decodePayload(prefix);
            CHECK((!decoded || !(decoded->message == message)));
        }
    }
}

// Guards against a peer making a daemon allocate a buffer of unlimited size.
TEST_CASE("a frame header with a payload size above the limit is rejected")
{
    const auto size = decodeFrameHeader({'\xff', '\xff', '\xff', '\x7f'});
    REQUIRE_FALSE(size);
    CHECK(size.error().code == ResultCode::FrameTooLarge);
}

TEST_CASE("a call returns the peer's answer, or the error of a refusal")
{
    EventLoop loop({.threads = 2});
    PeerServer server(
        loop, {.listen = {"127.0.0.1", 0}},
        [](PeerMessage message, const PeerResponder &respond) { respond(std::move(message)); },
        [](const Error &) {});
    REQUIRE(server.start());
    for (const PeerMessage &message : sampleMessages()) {
        const auto answer = callPeer(loop, server.endpoint(), message);
        if (std::holds_alternative<Refusal>(message)) {
            REQUIRE_FALSE(answer);
            CHECK(answer.error().code == ResultCode::NoInstance);
        } else {
            REQUIRE(answer);
            CHECK(*answer == message);
        }
    }
}

// Guards against an answer being delivered to the wrong call when answers arrive out of order.
TEST_CASE("answers that arrive in reverse order complete their own calls")
{
    EventLoop loop({.threads = 1});
    std::vector<std::pair<PeerMessage, PeerResponder>> received;
    PeerServer server(
        loop, {.listen = {"127.0.0.1", 0}},
        [&received](PeerMessage message, PeerResponder respond) {
            received.emplace_back(std::move(message), std::move(respond));
            if (received.size() == 2) {
                received[1].second(received[1].first);
                received[0].second(received[0].first);
            }
        },
        [](const Error &) {});
    REQUIRE(server.start());
    PeerClient client(loop);
    std::promise<Result<PeerMessage>> first;
    std::promise<Result<PeerMessage>> second;
    client.call(server.endpoint(), SettingsFetch{1}, std::chrono::seconds(30),
                [&first](Result<PeerMessage> answer) { first.set_value(std::move(answer)); });
    client.call(server.endpoint(), SettingsFetch{2}, std::chrono::seconds(30),
                [&second](Result<PeerMessage> answer) { second.set_value(std::move(answer)); });
    const auto firstAnswer = first.get_future().get();
    const auto secondAnswer = second.get_future().get();
    REQUIRE(firstAnswer);
    REQUIRE(secondAnswer);
    CHECK(std::get<SettingsFetch>(*firstAnswer).afterVersion == 1);
    CHECK(std::get<SettingsFetch>(*secondAnswer).afterVersion == 2);
    loop.stop();
    received.clear();
}

// Guards against a truncated frame being handled as a message.
TEST_CASE("a connection closed within a frame is reported as TruncatedFrame")
{
    EventLoop loop({.threads = 1});
    std::promise<Error> reported;
    PeerServer server(
        loop, {.listen = {"127.0.0.1", 0}},
        [](const PeerMessage &, const PeerResponder &) {
            FAIL("the handler was called for a truncated frame");
        },
        [&reported](const Error &error) { reported.set_value(error); });
    REQUIRE(server.start());
    const auto frame = encodeFrame({1, SettingsFetch{3}});
    REQUIRE(frame);
    sendRaw(server.endpoint(), frame->substr(0, frame->size() - 1));
    CHECK(reported.get_future().get().code == ResultCode::TruncatedFrame);
}

TEST_CASE("a call to a closed port fails with ConnectionFailed")
{
    EventLoop loop({.threads = 1});
    const auto answer = callPeer(loop, {"127.0.0.1", 1}, SettingsFetch{1});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::ConnectionFailed);
}
