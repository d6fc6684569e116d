#ifndef ACACIADEAL_DAEMON_INTERNAL_REQUESTCODEC_H
#define ACACIADEAL_DAEMON_INTERNAL_REQUESTCODEC_H

#include "base/error.h"
#include "base/time.h"
#include "requests/requestclass.h"
#include "requests/requestrecord.h"
#include "wire/message.h"

#include <string>

namespace acaciadeal {

/// Maximum timeout that a caller may set for a request.
inline constexpr milliseconds maxRequestTimeout = std::chrono::minutes(10);

/// A request of a caller that has been validated.
struct CallerRequest
{
    RequestId id;
    std::string tenant;
    RequestClass requestClass = RequestClass::Normal;
    ServiceId service;
    /// False by default: running a request twice is worse than not repeating it after a failure.
    bool repeatable = false;
    milliseconds timeout{0};
    std::string body;
};

/// Parses the body of `POST /v1/requests`. If the field "body" is a string, its text is passed on;
/// any other value is passed on as JSON. Unknown fields are errors, so that a misspelled
/// "repeatable" is noticed. Errors: MalformedRequest naming the field. Thread-safe.
Result<CallerRequest> parseCallerRequest(const std::string &text);

/// Validates a forwarded request in the same way as one of a caller. Errors: MalformedRequest.
/// Thread-safe.
Result<CallerRequest> toCallerRequest(const ForwardedRequest &message);

/// Returns whether @p id can be used in a URL path and in a row key: 1 to 128 letters, digits, '.',
/// '_' or '-'. Thread-safe.
bool isValidRequestId(const std::string &id);

/// Encodes a record as JSON, with the body of the answer in base64. Thread-safe.
std::string encodeRecord(const RequestRecord &record);
/// Decodes a record. Errors: PlatformProtocol. Thread-safe.
Result<RequestRecord> decodeRecord(const std::string &text);

} // namespace acaciadeal

#endif
