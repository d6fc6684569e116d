#include "http/httpclient.h"
#include "kernel/pluginregistry.h"
#include "store/codec.h"
#include "store/platform.h"

#include <memory>
#include <mutex>
#include <utility>

namespace acaciadeal {
namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotModified = 304;
constexpr unsigned statusConflict = 409;

/// State of the adapter of a platform with an HTTP interface.
struct HttpPlatform : std::enable_shared_from_this<HttpPlatform>
{
    HttpPlatform(EventLoop &loop, const PlatformOptions &platformOptions)
        : options(platformOptions)
        , client(loop, {})
    {
    }

    void post(std::string target, std::string body, HttpCallback callback)
    {
        client.send(options.endpoint,
                    {.method = "POST", .target = std::move(target), .body = std::move(body)},
                    {.timeout = options.timeout}, std::move(callback));
    }

    /// Requests the host list with the ETag of the last list received, so that the response has no
    /// body if the list has not changed.
    void listHosts(HostsCallback callback);
    Result<std::vector<HostRecord>> handleHostsResponse(HttpOutcome outcome);

    PlatformOptions options;
    HttpClient client;
    std::mutex hostsMutex;
    std::string hostsEtag;
    std::vector<HostRecord> hosts;
};

/// Returns the body of a response with status 200, or PlatformUnavailable.
Result<std::string> bodyOrError(HttpOutcome outcome)
{
    if (!outcome.response) {
        return failure(ResultCode::PlatformUnavailable, outcome.response.error().message,
                       outcome.response.error().where);
    }
    if (outcome.response->status != statusOk) {
        return failure(ResultCode::PlatformUnavailable,
                       "the platform responded with status "
                           + std::to_string(outcome.response->status),
                       "platform");
    }
    return std::move(outcome.response->body);
}

void HttpPlatform::listHosts(HostsCallback callback)
{
    HttpRequest request{.target = "/v1/hosts"};
    {
        const std::lock_guard lock(hostsMutex);
        if (!hostsEtag.empty()) {
            request.headers["if-none-match"] = hostsEtag;
        }
    }
    client.send(options.endpoint, std::move(request), {.timeout = options.timeout},
                [self = shared_from_this(), callback = std::move(callback)](HttpOutcome outcome) {
                    callback(self->handleHostsResponse(std::move(outcome)));
                });
}

Result<std::vector<HostRecord>> HttpPlatform::handleHostsResponse(HttpOutcome outcome)
{
    const std::lock_guard lock(hostsMutex);
    if (outcome.response && outcome.response->status == statusNotModified) {
        return hosts;
    }
    std::string tag;
    if (outcome.response) {
        tag = outcome.response->headers["etag"];
    }
    auto list = bodyOrError(std::move(outcome)).and_then(decodeHosts);
    if (list) {
        hosts = *list;
        hostsEtag = std::move(tag);
    }
    return list;
}

Result<CommitVersions> commitResult(const HttpOutcome &outcome)
{
    if (!outcome.response) {
        const ResultCode code =
            outcome.handedOver ? ResultCode::WriteOutcomeUnknown : ResultCode::PlatformUnavailable;
        return failure(code, outcome.response.error().message, outcome.response.error().where);
    }
    if (outcome.response->status == statusConflict) {
        const auto key = outcome.response->headers.find("x-failed-key");
        return failure(ResultCode::CheckFailed, "a row has a different version than expected",
                       key == outcome.response->headers.end() ? "" : key->second);
    }
    // Only statuses 200 and 409 give a definite outcome; with any other the write may have
    // committed.
    if (outcome.response->status != statusOk) {
        return failure(ResultCode::WriteOutcomeUnknown,
                       "the platform responded with status "
                           + std::to_string(outcome.response->status),
                       "platform");
    }
    return decodeVersions(outcome.response->body);
}

PlatformAdapter createHttpPlatform(EventLoop &loop, const PlatformOptions &options)
{
    auto platform = std::make_shared<HttpPlatform>(loop, options);
    PlatformAdapter adapter;
    adapter.commit = [platform](const Transaction &transaction, CommitCallback callback) {
        platform->post("/v1/table/commit", encodeTransaction(transaction),
                       [callback = std::move(callback)](const HttpOutcome &outcome) {
                           callback(commitResult(outcome));
                       });
    };
    adapter.read = [platform](const RowQuery &query, ReadCallback callback) {
        platform->post("/v1/table/read", encodeQuery(query),
                       [callback = std::move(callback)](HttpOutcome outcome) {
                           callback(bodyOrError(std::move(outcome)).and_then(decodeRows));
                       });
    };
    adapter.putObject = [platform](const std::string &name, std::string content,
                                   DoneCallback callback) {
        platform->client.send(
            platform->options.endpoint,
            {.method = "PUT", .target = "/v1/objects/" + name, .body = std::move(content)},
            {.timeout = platform->options.timeout},
            [callback = std::move(callback)](HttpOutcome outcome) {
                callback(bodyOrError(std::move(outcome)).map([](const std::string &) {}));
            });
    };
    adapter.getObject = [platform](const std::string &name, ObjectCallback callback) {
        platform->client.send(platform->options.endpoint,
                              {.method = "GET", .target = "/v1/objects/" + name},
                              {.timeout = platform->options.timeout},
                              [callback = std::move(callback)](HttpOutcome outcome) {
                                  callback(bodyOrError(std::move(outcome)));
                              });
    };
    adapter.listHosts = [platform](HostsCallback callback) {
        platform->listHosts(std::move(callback));
    };
    return adapter;
}

const PluginRegistration<PlatformPlugin> registration{
    "http", {.durable = true, .create = &createHttpPlatform}};

} // namespace
} // namespace acaciadeal
