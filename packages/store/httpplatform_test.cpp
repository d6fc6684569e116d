#include "http/httpserver.h"
#include "kernel/pluginregistry.h"
#include "runtime/eventloop.h"
#include "store/codec.h"

#include <doctest/doctest.h>
#include <future>

using namespace acaciadeal;

namespace {

Result<std::vector<HostRecord>> listHosts(const PlatformAdapter &adapter)
{
    std::promise<Result<std::vector<HostRecord>>> list;
    adapter.listHosts(
        [&list](Result<std::vector<HostRecord>> hosts) { list.set_value(std::move(hosts)); });
    return list.get_future().get();
}

} // namespace

// Guards against a response without a body being taken for an empty host list, and against a
// changed host list being taken for an unchanged one.
TEST_CASE("the host list is transferred again only if it has changed")
{
    EventLoop loop({.threads = 1});
    std::string tag = "v1";
    std::vector<HostRecord> hosts{{.host = {"worker-1"}, .endpoint = {"127.0.0.1", 7000}}};
    int fullResponses = 0;
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [&](const HttpRequest &request, const HttpResponder &respond) {
                          const auto it = request.headers.find("if-none-match");
                          if (it != request.headers.end() && it->second == tag) {
                              respond({.status = 304});
                              return;
                          }
                          ++fullResponses;
                          respond({.headers = {{"etag", tag}}, .body = encodeHosts(hosts)});
                      });
    REQUIRE(server.start());
    const auto plugin = PluginRegistry<PlatformPlugin>::instance().find("http");
    REQUIRE(plugin);
    const PlatformAdapter adapter = plugin->create(loop, {.endpoint = server.endpoint()});
    CHECK(listHosts(adapter).value() == hosts);
    CHECK(listHosts(adapter).value() == hosts);
    CHECK(fullResponses == 1);
    hosts.push_back({.host = {"worker-2"}, .endpoint = {"127.0.0.1", 7001}});
    tag = "v2";
    CHECK(listHosts(adapter).value() == hosts);
    CHECK(fullResponses == 2);
    loop.stop();
}
