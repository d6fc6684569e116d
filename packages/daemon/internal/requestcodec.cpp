#include "daemon/internal/requestcodec.h"

#include "store/codec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> stateNames = {"started", "done", "not_run"};
constexpr std::size_t maxNameLength = 128;

auto malformed(const std::string &field, const std::string &message)
{
    return failure(ResultCode::MalformedRequest, message, field);
}

Result<CallerRequest> validated(CallerRequest request)
{
    if (!isValidRequestId(request.id.value)) {
        return malformed("id", "expected 1 to 128 letters, digits, '.', '_' or '-'");
    }
    if (request.tenant.empty() || request.tenant.size() > maxNameLength) {
        return malformed("tenant", "expected 1 to 128 characters");
    }
    if (request.service.empty() || request.service.value.size() > maxNameLength) {
        return malformed("service", "expected 1 to 128 characters");
    }
    if (request.timeout <= milliseconds::zero() || request.timeout > maxRequestTimeout) {
        return malformed("timeout_ms",
                         "expected 1 to " + std::to_string(maxRequestTimeout.count()));
    }
    return request;
}

/// Copies the string @p field of @p object to @p target. Returns false if it is absent or not
/// a string.
bool readString(const json &object, const char *field, std::string &target)
{
    const auto it = object.find(field);
    if (it == object.end() || !it->is_string()) {
        return false;
    }
    target = it->get<std::string>();
    return true;
}

} // namespace

bool isValidRequestId(const std::string &id)
{
    return !id.empty() && id.size() <= maxNameLength
           && std::all_of(id.begin(), id.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                         || c == '.' || c == '_' || c == '-';
              });
}

Result<CallerRequest> parseCallerRequest(const std::string &text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return malformed("body", "expected a JSON object");
    }
    static constexpr std::array<std::string_view, 7> fields = {
        "id", "tenant", "class", "service", "repeatable", "timeout_ms", "body"};
    for (const auto &entry : object.items()) {
        if (std::find(fields.begin(), fields.end(), entry.key()) == fields.end()) {
            return malformed(entry.key(), "unknown field");
        }
    }
    CallerRequest request;
    for (const auto &[field, target] :
         {std::pair<const char *, std::string *>{"id", &request.id.value},
          {"tenant", &request.tenant},
          {"service", &request.service.value}}) {
        if (!readString(object, field, *target)) {
            return malformed(field, "expected a string");
        }
    }
    if (object.contains("class")) {
        std::string name;
        readString(object, "class", name);
        const auto requestClass = parseRequestClass(name);
        if (!requestClass) {
            return malformed("class", "expected \"urgent\", \"normal\" or \"batch\"");
        }
        request.requestClass = *requestClass;
    }
    if (const auto it = object.find("repeatable"); it != object.end()) {
        if (!it->is_boolean()) {
            return malformed("repeatable", "expected true or false");
        }
        request.repeatable = it->get<bool>();
    }
    const auto timeout = object.find("timeout_ms");
    if (timeout == object.end() || !timeout->is_number_unsigned()) {
        return malformed("timeout_ms", "expected a positive integer");
    }
    // Clamp before converting, because a number of more than 63 bits would become negative.
    request.timeout =
        milliseconds(std::min<std::uint64_t>(timeout->get<std::uint64_t>(), 1U << 30));
    if (!readString(object, "body", request.body) && object.contains("body")) {
        request.body = object["body"].dump();
    }
    return validated(std::move(request));
}

Result<CallerRequest> toCallerRequest(const ForwardedRequest &message)
{
    const auto requestClass = parseRequestClass(message.requestClass);
    if (!requestClass) {
        return malformed("class", "unknown class " + message.requestClass);
    }
    return validated({.id = message.id,
                      .tenant = message.tenant,
                      .requestClass = *requestClass,
                      .service = message.service,
                      .repeatable = message.repeatable,
                      .timeout = message.timeout,
                      .body = message.body});
}

std::string encodeRecord(const RequestRecord &record)
{
    json object = {{"state", stateNames[static_cast<std::size_t>(record.state)]},
                   {"daemon", record.daemon.value},
                   {"attempt", record.attempt},
                   {"transaction", record.transactionId},
                   {"fingerprint", record.fingerprint}};
    if (record.state == RecordState::Done) {
        object["answer"] = {{"status", record.answer.status},
                            {"content_type", record.answer.contentType},
                            {"body", encodeBase64(record.answer.body)}};
    }
    // Header values of a backend server are not necessarily valid UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RequestRecord> decodeRecord(const std::string &text)
{
    const auto invalid = [](const char *field) {
        return failure(ResultCode::PlatformProtocol, "the request record is not valid", field);
    };
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return invalid("record");
    }
    RequestRecord record;
    std::string state;
    if (!readString(object, "state", state) || !readString(object, "daemon", record.daemon.value)
        || !readString(object, "transaction", record.transactionId)
        || !readString(object, "fingerprint", record.fingerprint)) {
        return invalid("record");
    }
    const auto name = std::find(stateNames.begin(), stateNames.end(), state);
    if (name == stateNames.end()) {
        return invalid("state");
    }
    record.state = static_cast<RecordState>(name - stateNames.begin());
    const auto attempt = object.find("attempt");
    if (attempt == object.end() || !attempt->is_number_unsigned()) {
        return invalid("attempt");
    }
    record.attempt = attempt->get<std::uint32_t>();
    if (record.state != RecordState::Done) {
        return record;
    }
    const auto answer = object.find("answer");
    std::string body;
    if (answer == object.end() || !answer->is_object() || !answer->contains("status")
        || !(*answer)["status"].is_number_unsigned()
        || !readString(*answer, "content_type", record.answer.contentType)
        || !readString(*answer, "body", body)) {
        return invalid("answer");
    }
    record.answer.status = (*answer)["status"].get<unsigned>();
    auto decoded = decodeBase64(body);
    if (!decoded) {
        return invalid("answer.body");
    }
    record.answer.body = std::move(*decoded);
    return record;
}

} // namespace acaciadeal
