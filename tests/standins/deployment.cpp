#include "standins/deployment.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::standins {
namespace {

using nlohmann::json;

std::string numberText(int value)
{
    return std::to_string(value);
}

/// Appends @p host with the next port, counted from @p firstPort; port 0 if @p firstPort is 0.
void addHost(Deployment &deployment, HostRecord host, int firstPort)
{
    host.endpoint.address = "127.0.0.1";
    host.endpoint.port =
        firstPort == 0
            ? 0
            : static_cast<std::uint16_t>(firstPort + static_cast<int>(deployment.hosts.size()));
    deployment.hosts.push_back(std::move(host));
}

Deployment toDeployment(const json &document)
{
    Deployment deployment;
    deployment.region = document.at("region").get<std::string>();
    const int firstPort = document.at("first_port").get<int>();
    const Resources capacity{.milliCores = document.at("milli_cores").get<std::int64_t>(),
                             .memoryMiB = document.at("memory_mib").get<std::int64_t>(),
                             .accelerators = document.at("accelerators").get<std::int64_t>()};
    const json &domains = document.at("failure_domains");
    for (const json &domain : domains) {
        const auto name = domain.at("name").get<std::string>();
        deployment.failureDomains.push_back({name});
        for (int rack = 1; rack <= domain.at("racks").get<int>(); ++rack) {
            for (int host = 1; host <= domain.at("hosts_per_rack").get<int>(); ++host) {
                const std::string rackName = name + "-r" + numberText(rack);
                addHost(deployment,
                        {.host = {rackName + "-w" + numberText(host)},
                         .failureDomain = {name},
                         .rack = {rackName},
                         .capacity = capacity},
                        firstPort);
            }
        }
    }
    for (const json &domain : domains) {
        const auto name = domain.at("name").get<std::string>();
        for (int n = 1; n <= domain.at("instances").get<int>(); ++n) {
            addHost(deployment,
                    {.host = {name + "-i" + numberText(n)},
                     .failureDomain = {name},
                     .rack = {name + "-services"},
                     .service = {document.at("service").get<std::string>()},
                     .slots = document.at("slots").get<std::uint32_t>(),
                     .connections = document.at("connections").get<std::uint32_t>()},
                    firstPort);
        }
    }
    return deployment;
}

} // namespace

Result<Deployment> parseDeployment(const std::string &text)
{
    try {
        return toDeployment(json::parse(text, nullptr, true, true));
    } catch (const json::exception &e) {
        return failure(ResultCode::SyntaxError, e.what(), "deployment");
    }
}

Result<Deployment> readDeployment(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(ResultCode::FileUnreadable, "cannot open the deployment file", path);
    }
    return parseDeployment({std::istreambuf_iterator<char>(file), {}});
}

} // namespace acaciadeal::standins
