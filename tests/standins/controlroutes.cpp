#include "standins/controlroutes.h"

#include "http/httprouter.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <future>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace acaciadeal::standins {

Result<CommandLine> parseCommandLine(int argc, char **argv)
{
    CommandLine options;
    const option longOptions[] = {{"deployment", required_argument, nullptr, 'd'},
                                  {"listen", required_argument, nullptr, 'l'},
                                  {"threads", required_argument, nullptr, 't'},
                                  {nullptr, 0, nullptr, 0}};
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (c == 'd') {
            options.deployment = optarg;
        } else if (c == 'l') {
            const auto listen = parseEndpoint(optarg);
            if (!listen) {
                return tl::unexpected<Error>(listen.error());
            }
            options.listen = *listen;
        } else if (c == 't') {
            options.threads = std::max(1, static_cast<int>(std::strtol(optarg, nullptr, 10)));
        } else {
            return failure(ResultCode::UsageError,
                           "options: --deployment FILE --listen ADDRESS:PORT --threads N");
        }
    }
    return options;
}

void ControlRoutes::add(std::string method, std::string path, Handler handler)
{
    m_handlers[{std::move(method), std::move(path)}] = std::move(handler);
}

HttpResponse ControlRoutes::handle(const HttpRequest &request) const
{
    const auto it = m_handlers.find({request.method, pathOf(request.target)});
    if (it == m_handlers.end()) {
        return errorResponse({ResultCode::UnknownPath, "no such method and path",
                              request.method + " " + request.target});
    }
    try {
        return it->second(request);
    } catch (const nlohmann::json::exception &e) {
        return errorResponse({ResultCode::MalformedRequest, e.what(), "body"});
    }
}

int serveUntilSignal(EventLoop &loop, const Endpoint &listen, FaultyHandler handler)
{
    std::promise<void> stopped;
    boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { stopped.set_value(); });
    FaultyServer server(loop, {.listen = listen}, std::move(handler));
    const auto started = server.start();
    if (!started) {
        std::cerr << started.error().where << ": " << started.error().message << '\n';
        return 1;
    }
    std::cout << "listening on " << toString(server.endpoint()) << std::endl;
    stopped.get_future().wait();
    return 0;
}

std::int64_t monotonicMicroseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

} // namespace acaciadeal::standins
