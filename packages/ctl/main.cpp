#include "ctl/commands.h"
#include "http/httpclient.h"
#include "runtime/eventloop.h"

#include <cstdlib>
#include <future>
#include <iostream>
#include <random>
#include <thread>

using namespace acaciadeal;

namespace {

constexpr std::chrono::seconds callTimeout{15};
constexpr std::chrono::milliseconds pollPeriod{500};

std::string randomRequestId()
{
    constexpr char digits[] = "0123456789abcdef";
    std::random_device random;
    std::string id = "ctl-";
    for (int n = 0; n < 32; ++n) {
        id += digits[random() & 0xf];
    }
    return id;
}

Result<HttpResponse> callOnce(HttpClient &client, const Endpoint &address,
                              const HttpRequest &request)
{
    std::promise<HttpOutcome> promise;
    client.send(address, request, {.timeout = callTimeout, .freshConnection = true},
                [&promise](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
    HttpOutcome outcome = promise.get_future().get();
    if (!outcome.response && outcome.handedOver
        && outcome.response.error().code == ResultCode::ConnectionFailed) {
        // Bytes were sent, so the daemon may have carried out the request.
        return failure(ResultCode::IncompleteAnswer, outcome.response.error().message,
                       outcome.response.error().where);
    }
    return outcome.response;
}

} // namespace

int main(int argc, char **argv)
{
    auto line = parseCommandLine({argv + 1, argv + argc});
    if (!line) {
        std::cerr << "acaciadealctl: error " << static_cast<int>(line.error().code) << " "
                  << resultCodeName(line.error().code) << ": " << line.error().message << " ("
                  << line.error().where << ")\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const char *token = std::getenv("ACACIADEAL_TOKEN");
    if (line->token.empty() && token != nullptr) {
        line->token = token;
    }
    EventLoop loop({.threads = 1});
    HttpClient client(loop, {});
    const auto deadline = std::chrono::steady_clock::now() + line->timeout;
    const CtlEnvironment environment{
        .sendRequest =
            [&](const HttpRequest &request) { return callOnce(client, line->address, request); },
        .waitForNextPoll =
            [deadline] {
                if (std::chrono::steady_clock::now() + pollPeriod > deadline) {
                    return false;
                }
                std::this_thread::sleep_for(pollPeriod);
                return true;
            },
        .newRequestId = &randomRequestId,
        .out = std::cout,
        .err = std::cerr,
    };
    const ExitCode exitCode = runCommand(*line, environment);
    std::cout.flush();
    loop.stop();
    return static_cast<int>(exitCode);
}
