#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

constexpr std::size_t readBytes = 16384;
constexpr int listenBacklog = 256;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Waits until the socket has data or space; false at @p until.
bool waitReady(int fd, short events, std::optional<TimePoint> until)
{
    pollfd entry{.fd = fd, .events = events, .revents = 0};
    int timeout = -1;
    if (until) {
        const auto left =
            std::chrono::ceil<milliseconds>(*until - std::chrono::steady_clock::now());
        timeout = static_cast<int>(std::max<std::int64_t>(left.count(), 0));
    }
    return poll(&entry, 1, timeout) > 0;
}

bool sendAll(int fd, const std::string &data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

void parseHeaders(const std::string &text, Message &message)
{
    std::size_t begin = text.find("\r\n");
    message.firstLine = text.substr(0, begin);
    while (begin != std::string::npos && begin + 2 < text.size()) {
        begin += 2;
        const std::size_t end = text.find("\r\n", begin);
        const std::string line = text.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lowered(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        begin = end;
    }
}

/// Reads one message. @p buffer keeps what follows it. Only Content-Length bodies are supported;
/// the daemon and the programs here send no others.
std::optional<Message> readMessage(int fd, std::string &buffer, std::optional<TimePoint> until)
{
    Message message;
    std::optional<std::size_t> total;
    std::size_t bodyBegin = 0;
    while (!total || buffer.size() < *total) {
        const std::size_t end = total ? std::string::npos : buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            parseHeaders(buffer.substr(0, end + 2), message);
            bodyBegin = end + 4;
            const auto it = message.headers.find("content-length");
            const std::size_t length =
                it == message.headers.end() ? 0 : std::strtoul(it->second.c_str(), nullptr, 10);
            total = bodyBegin + length;
            continue;
        }
        char data[readBytes];
        if (!waitReady(fd, POLLIN, until)) {
            return std::nullopt;
        }
        const ssize_t n = ::recv(fd, data, sizeof(data), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        buffer.append(data, static_cast<std::size_t>(n));
    }
    message.body = buffer.substr(bodyBegin, *total - bodyBegin);
    buffer.erase(0, *total);
    return message;
}

void reset(int fd)
{
    const linger immediate{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
}

/// Reads and drops everything until the caller closes the connection.
void stayInSilence(int fd)
{
    char data[readBytes];
    while (::recv(fd, data, sizeof(data), 0) > 0) { }
}

/// Serves one connection and returns when it is to be closed.
void serveConnection(int fd, const ServerOptions &options)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::uint64_t connection = options.onAccept ? options.onAccept() : 0;
    std::string buffer;
    while (const auto message = readMessage(fd, buffer, std::nullopt)) {
        const std::string &line = message->firstLine;
        const std::size_t target = line.find(' ') + 1;
        const Reply reply =
            options.handler({.method = line.substr(0, target - 1),
                             .target = line.substr(target, line.find(' ', target) - target),
                             .headers = message->headers,
                             .body = message->body},
                            connection);
        if (reply.fate == Fate::Silence) {
            stayInSilence(fd);
            break;
        }
        if (reply.fate == Fate::Reset) {
            reset(fd);
            break;
        }
        const std::string &body = reply.response.body;
        if (!sendAll(fd, "HTTP/1.1 " + std::to_string(reply.response.status)
                             + " X\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            break;
        }
    }
}

} // namespace

struct Server::Impl
{
    void run();

    ServerOptions options;
    int listener = -1;
    std::uint16_t port = 0;
    std::mutex mutex;
    bool unreachable = false;
    /// Connection that fills the queue of new connections while unreachable.
    int filler = -1;
};

void Server::Impl::run()
{
    for (;;) {
        // The wait is short, so that the flag is seen soon.
        waitReady(listener, POLLIN, std::chrono::steady_clock::now() + milliseconds(5));
        const std::lock_guard lock(mutex);
        const int fd = unreachable ? -1 : ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            std::thread([fd, this] {
                serveConnection(fd, options);
                ::close(fd);
            }).detach();
        }
    }
}

Server::Server(ServerOptions options)
    : m_impl(std::make_shared<Impl>())
{
    m_impl->options = std::move(options);
    m_impl->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (m_impl->listener < 0
        || ::bind(m_impl->listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(m_impl->listener, listenBacklog) != 0
        || ::getsockname(m_impl->listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on 127.0.0.1");
    }
    m_impl->port = ntohs(address.sin_port);
    std::thread([impl = m_impl] { impl->run(); }).detach();
}

std::uint16_t Server::port() const
{
    return m_impl->port;
}

void Server::setUnreachable(bool unreachable)
{
    const std::lock_guard lock(m_impl->mutex);
    if (unreachable == std::exchange(m_impl->unreachable, unreachable)) {
        return;
    }
    if (unreachable) {
        // A full queue of new connections: the kernel drops further opening packets.
        ::listen(m_impl->listener, 0);
        m_impl->filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(m_impl->port);
        (void)::connect(m_impl->filler, reinterpret_cast<const sockaddr *>(&address),
                        sizeof(address));
    } else {
        ::listen(m_impl->listener, listenBacklog);
        ::close(m_impl->filler);
    }
}

std::optional<Response> call(const CallOptions &options)
{
    const TimePoint until = std::chrono::steady_clock::now() + options.timeout;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(options.port);
    std::string text = options.method + " " + options.path + " HTTP/1.1\r\nConnection: close\r\n";
    for (const auto &[name, value] : options.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(options.body.size()) + "\r\n\r\n" + options.body;
    std::optional<Response> response;
    // The daemons are on this machine and their processes accept, so connecting does not block.
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && sendAll(fd, text)) {
        std::string buffer;
        if (const auto message = readMessage(fd, buffer, until)) {
            response = Response{
                .status = static_cast<int>(std::strtol(
                    message->firstLine.c_str() + message->firstLine.find(' '), nullptr, 10)),
                .body = message->body};
        }
    }
    ::close(fd);
    return response;
}

std::uint16_t freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    (void)::bind(fd, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', ++begin);
        const std::string pair = target.substr(begin, end - begin);
        begin = end;
        if (!pair.starts_with(name + "=")) {
            continue;
        }
        std::string value;
        for (std::size_t n = name.size() + 1; n < pair.size(); ++n) {
            if (pair[n] == '%' && n + 2 < pair.size()) {
                value += static_cast<char>(std::strtol(pair.substr(n + 1, 2).c_str(), nullptr, 16));
                n += 2;
            } else {
                value += pair[n];
            }
        }
        return value;
    }
    return {};
}

} // namespace review
