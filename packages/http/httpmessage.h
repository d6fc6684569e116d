#ifndef ACACIADEAL_HTTP_HTTPMESSAGE_H
#define ACACIADEAL_HTTP_HTTPMESSAGE_H

#include "base/error.h"

#include <cstdint>
#include <map>
#include <string>

namespace acaciadeal {

/// IP address and port of a server for HTTP or for frames of the peer protocol.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses "10.0.0.1:8080". Errors: MalformedRequest. Thread-safe.
Result<Endpoint> parseEndpoint(const std::string &text);
/// Returns "address:port". Thread-safe.
std::string toString(const Endpoint &endpoint);

/// Header fields by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest
{
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
};

/// Builds the answer for an error: a JSON object with code, name, message and where.
/// The HTTP status is derived from the result code. Thread-safe.
HttpResponse errorResponse(const Error &error);

/// Builds a 200 answer with a JSON body. Thread-safe.
HttpResponse jsonResponse(std::string body);

} // namespace acaciadeal

#endif
