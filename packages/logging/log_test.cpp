#include "logging/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace acaciadeal;

namespace {

/// Redirects standard output to a pipe.
struct CapturedOutput
{
    int savedStdout = dup(STDOUT_FILENO);
    int pipeEnds[2] = {-1, -1};

    CapturedOutput()
    {
        REQUIRE(pipe(pipeEnds) == 0);
        dup2(pipeEnds[1], STDOUT_FILENO);
        fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    }

    std::string read() const
    {
        std::string text;
        char buf[4096];
        for (ssize_t n = 0; (n = ::read(pipeEnds[0], buf, sizeof buf)) > 0;) {
            text.append(buf, static_cast<std::size_t>(n));
        }
        return text;
    }

    ~CapturedOutput()
    {
        dup2(savedStdout, STDOUT_FILENO);
        close(savedStdout);
        close(pipeEnds[0]);
        close(pipeEnds[1]);
    }
};

} // namespace

// Guards against a daemon that blocks because nobody reads its log: a blocking write would hang
// this test.
TEST_CASE("logging to a full output drops lines and does not block")
{
    std::string text;
    {
        const CapturedOutput captured;
        openLog({.daemon = "d1"});
        for (int n = 0; n < 5000; ++n) {
            logEvent(EventId::JobAccepted, {{"job", std::to_string(n)}, {"filler", "0123456789"}});
        }
        flushLog();
        text = captured.read();
        // The number of dropped lines is logged in the next second.
        usleep(1'100'000);
        logEvent(EventId::JobAccepted, {{"job", "last"}});
        flushLog();
        text += captured.read();
    }
    CHECK(text.find("d1 INFO 8001 JobAccepted job=0 filler=0123456789") != std::string::npos);
    CHECK(text.find("8016 LogLinesDropped lines=") != std::string::npos);
    CHECK(text.find("job=last") != std::string::npos);
    // Only whole lines are dropped.
    CHECK(text.back() == '\n');
}

// Guards against a frequent event suppressing the lines of rare ones.
TEST_CASE("exceeding the line limit with one event does not drop the first lines of another")
{
    std::string text;
    {
        const CapturedOutput captured;
        openLog({.daemon = "d1"});
        for (int n = 0; n < 3000; ++n) {
            logEvent(EventId::TaskOrdered, {{"task", std::to_string(n)}});
            flushLog();
            text += captured.read();
        }
        logEvent(EventId::FleetStatus, {{"hosts", "3"}});
        flushLog();
        text += captured.read();
    }
    CHECK(text.find("TaskOrdered task=0") != std::string::npos);
    CHECK(text.find("TaskOrdered task=2999") == std::string::npos);
    CHECK(text.find("FleetStatus hosts=3") != std::string::npos);
}

TEST_CASE("events are counted, also while no log is open")
{
    const std::uint64_t before = eventCount(EventId::RowIgnored);
    const std::uint64_t others = eventCount(EventId::FrameRefused);
    logEvent(EventId::RowIgnored);
    logEvent(EventId::RowIgnored, {{"row", "a"}});
    CHECK(eventCount(EventId::RowIgnored) == before + 2);
    CHECK(eventCount(EventId::FrameRefused) == others);
}
