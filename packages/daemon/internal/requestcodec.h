#ifndef ACACIADEAL_DAEMON_INTERNAL_REQUESTCODEC_H
#define ACACIADEAL_DAEMON_INTERNAL_REQUESTCODEC_H

#include "base/error.h"
#include "base/time.h"
#include "requests/requestclass.h"
#include "requests/requestrecord.h"
#include "wire/message.h"

#include <string>

namespace acaciadeal {

/// Longest time that a caller may allow for a request.
inline constexpr milliseconds maxRequestTimeout = std::chrono::minutes(10);

/// A valid request of a caller.
struct CallerRequest
{
    RequestId id;
    std::string tenant;
    RequestClass requestClass = RequestClass::Normal;
    ServiceId service;
    /// False unless the caller says otherwise: running a request once too often is the worse error.
    bool repeatable = false;
    milliseconds timeout{0};
    std::string body;
};

/// Parses the body of `POST /v1/requests`. A "body" that is a string is passed on as its text, any
/// other value as JSON. Unknown fields are refused, so that a misspelled "repeatable" is noticed.
/// Errors: MalformedRequest naming the field. Thread-safe.
Result<CallerRequest> parseCallerRequest(const std::string &text);

/// Checks a forwarded request like one of a caller. Errors: MalformedRequest. Thread-safe.
Result<CallerRequest> toCallerRequest(const ForwardedRequest &message);

/// Returns whether @p id can be part of a path and of a row key: 1 to 128 letters, digits, '.', '_'
/// or '-'. Thread-safe.
bool isValidRequestId(const std::string &id);

/// JSON form of a record; the answer's body is base64. Thread-safe.
std::string encodeRecord(const RequestRecord &record);
/// Errors: PlatformProtocol. Thread-safe.
Result<RequestRecord> decodeRecord(const std::string &text);

} // namespace acaciadeal

#endif
