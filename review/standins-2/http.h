#ifndef ACACIADEAL_REVIEW_HTTP_H
#define ACACIADEAL_REVIEW_HTTP_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Small blocking HTTP/1.1 server and client on loopback, one thread for each connection.
namespace review {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

struct Request
{
    std::string method;
    std::string target;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body;
};

enum class Fate : std::uint8_t {
    Answer,
    /// No answer; the connection stays open and silent until the caller closes it.
    Silence,
    Reset,
};

struct Reply
{
    Fate fate = Fate::Answer;
    Response response;
};

struct ServerOptions
{
    /// Returns a value that is passed to the handler with each request of the connection.
    std::function<std::uint64_t()> onAccept;
    std::function<Reply(const Request &request, std::uint64_t connection)> handler;
};

/// A server on a free port of 127.0.0.1, which runs until the process ends. The callbacks run on
/// the threads of the connections. Thread-safe.
class Server
{
public:
    /// Throws std::runtime_error if no port can be opened.
    explicit Server(ServerOptions options);

    std::uint16_t port() const;
    /// While unreachable, connections are not accepted and opening packets get no answer, as those
    /// to a machine without power or behind a partition. Open connections are not affected.
    void setUnreachable(bool unreachable);

    /// Defined in the source file.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

struct CallOptions
{
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds timeout{3000};
};

/// Sends one request on a new connection. Returns nullopt if there was no complete answer in time.
std::optional<Response> call(const CallOptions &options);

/// Returns a port that was free a moment ago.
std::uint16_t freePort();

/// Returns the value of a query parameter, decoded; empty if it is missing.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace review

#endif
