#ifndef ACACIADEAL_STANDINS_CONTROLROUTES_H
#define ACACIADEAL_STANDINS_CONTROLROUTES_H

#include "base/time.h"
#include "http/httpmessage.h"
#include "standins/faultyserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::standins {

// Code shared by the stand-in programs for the platform and the workers.

struct CommandLine
{
    std::string deployment;
    Endpoint listen{"127.0.0.1", 0};
    int threads = 2;
};

/// Reads --deployment FILE, --listen ADDRESS:PORT and --threads N. Errors: UsageError.
Result<CommandLine> parseCommandLine(int argc, char **argv);

/// Handlers of the control interface, by method and path. If a handler throws a JSON exception, the
/// request is answered with MalformedRequest.
class ControlRoutes
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// Precondition: the server has not started.
    void add(std::string method, std::string path, Handler handler);
    HttpResponse handle(const HttpRequest &request) const;

private:
    std::map<std::pair<std::string, std::string>, Handler> m_handlers;
};

/// Serves @p handler on @p listen, prints "listening on ADDRESS:PORT", and returns the exit status
/// after SIGTERM or SIGINT.
int serveUntilSignal(EventLoop &loop, const Endpoint &listen, FaultyHandler handler);

/// Returns @p time in microseconds of the machine's monotonic clock, which all stand-in processes
/// share. For test records only; the protocol never compares clocks of different processes.
std::int64_t monotonicMicroseconds(TimePoint time);

} // namespace acaciadeal::standins

#endif
