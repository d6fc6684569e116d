#ifndef ACACIADEAL_HTTP_HTTPROUTER_H
#define ACACIADEAL_HTTP_HTTPROUTER_H

#include "http/httpserver.h"

#include <string>
#include <vector>

namespace acaciadeal {

/// Handler for the requests with one method and path prefix.
struct HttpRoute
{
    std::string method;
    std::string prefix;
    HttpHandler handler;
};

/// Dispatches requests by method and longest matching path prefix. Routes are added before the
/// server starts; handle() is thread-safe after that.
class HttpRouter
{
public:
    /// Precondition: the server has not started.
    void add(HttpRoute route);

    /// Calls the matching handler, or responds with the error UnknownPath if there is none.
    void handle(HttpRequest request, HttpResponder respond) const;

private:
    std::vector<HttpRoute> m_routes;
};

/// Decodes percent-encoding; invalid sequences are kept as they are. Thread-safe.
std::string percentDecode(const std::string &text);

/// Returns the path of @p target without its query. Thread-safe.
std::string pathOf(const std::string &target);

/// Returns the decoded value of the first parameter @p name in the query of @p target, or an empty
/// string. Thread-safe.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace acaciadeal

#endif
