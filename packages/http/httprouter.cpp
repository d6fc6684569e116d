#include "http/httprouter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace acaciadeal {
namespace {

unsigned httpStatusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::PermissionDenied:
        return 403;
    case ResultCode::UnknownPath:
    case ResultCode::UnknownSetting:
    case ResultCode::UnknownHost:
    case ResultCode::UnknownFailureDomain:
    case ResultCode::TaskNotFound:
    case ResultCode::RequestNotFound:
        return 404;
    case ResultCode::VersionConflict:
    case ResultCode::RequestIdReused:
    case ResultCode::JobIdReused:
    case ResultCode::TaskTerminal:
    case ResultCode::CheckFailed:
        return 409;
    case ResultCode::RequestTooLarge:
    case ResultCode::ValueTooLarge:
        return 413;
    case ResultCode::Overloaded:
    case ResultCode::QuotaExceeded:
        return 429;
    case ResultCode::BackendFailed:
    case ResultCode::IncompleteAnswer:
        return 502;
    case ResultCode::NoInstance:
    case ResultCode::ShuttingDown:
    case ResultCode::RecordUnavailable:
    case ResultCode::NotHandedOver:
    case ResultCode::PlatformUnavailable:
    case ResultCode::NotHolder:
        return 503;
    case ResultCode::DeadlineExpired:
    case ResultCode::OutcomeUnknown:
    case ResultCode::TimedOut:
        return 504;
    default:
        return 400;
    }
}

void appendJsonString(std::string &out, const std::string &text)
{
    constexpr char hexDigits[] = "0123456789abcdef";
    out += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < 0x20) {
            out += "\\u00";
            out += hexDigits[byte >> 4];
            out += hexDigits[byte & 0xf];
        } else {
            out += c;
        }
    }
    out += '"';
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    Endpoint endpoint;
    if (colon != std::string::npos) {
        const char *const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
        if (parsed.ec == std::errc() && parsed.ptr == end && colon > 0) {
            endpoint.address = text.substr(0, colon);
            return endpoint;
        }
    }
    return failure(ResultCode::MalformedRequest, "expected ADDRESS:PORT", text);
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

HttpResponse errorResponse(const Error &error)
{
    std::string body = R"({"code":)" + std::to_string(static_cast<int>(error.code)) + R"(,"name":)";
    appendJsonString(body, std::string(resultCodeName(error.code)));
    body += R"(,"message":)";
    appendJsonString(body, error.message);
    body += R"(,"where":)";
    appendJsonString(body, error.where);
    body += "}";
    return {httpStatusOf(error.code), {{"content-type", "application/json"}}, std::move(body)};
}

HttpResponse jsonResponse(std::string body)
{
    return {200, {{"content-type", "application/json"}}, std::move(body)};
}

void HttpRouter::add(HttpRoute route)
{
    m_routes.push_back(std::move(route));
}

void HttpRouter::handle(HttpRequest request, HttpResponder respond) const
{
    const HttpRoute *best = nullptr;
    for (const HttpRoute &route : m_routes) {
        if (route.method == request.method && request.target.starts_with(route.prefix)
            && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    if (best == nullptr) {
        respond(errorResponse({ResultCode::UnknownPath, "no handler for this method and path",
                               request.method + " " + request.target}));
        return;
    }
    best->handler(std::move(request), std::move(respond));
}

std::string percentDecode(const std::string &text)
{
    std::string result;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned value = 0;
        if (text[n] == '%' && n + 2 < text.size()
            && std::from_chars(text.data() + n + 1, text.data() + n + 3, value, 16).ptr
                   == text.data() + n + 3) {
            result += static_cast<char>(value);
            n += 2;
        } else {
            result += text[n];
        }
    }
    return result;
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        ++begin;
        const auto end = target.find('&', begin);
        const std::string pair = target.substr(begin, end == std::string::npos ? end : end - begin);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
            std::replace(value.begin(), value.end(), '+', ' ');
            return percentDecode(value);
        }
        begin = end;
    }
    return {};
}

} // namespace acaciadeal
