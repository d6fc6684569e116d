#include "fleet/internal/roster.h"

#include "logging/log.h"
#include "runtime/eventloop.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::internal {
namespace {

using nlohmann::json;

constexpr const char *rosterTable = "roster";
constexpr const char *rosterKey = "roster/main";
constexpr Duration readRetryDelay = milliseconds(200);

std::string encode(const std::map<HostId, Endpoint> &hosts)
{
    json j = json::object();
    for (const auto &[id, endpoint] : hosts) {
        j[id.value] = toString(endpoint);
    }
    return j.dump();
}

std::map<HostId, Endpoint> decode(const std::string &text)
{
    std::map<HostId, Endpoint> hosts;
    const json j = json::parse(text, nullptr, false);
    if (!j.is_object()) {
        logEvent(EventId::RowIgnored, {{"row", rosterKey}, {"reason", "not a JSON object"}});
        return hosts;
    }
    for (const auto &[id, value] : j.items()) {
        const auto endpoint = parseEndpoint(value.is_string() ? value.get<std::string>() : "");
        if (endpoint) {
            hosts[{id}] = *endpoint;
        } else {
            logEvent(EventId::RowIgnored,
                     {{"row", rosterKey}, {"reason", "host " + id + " has no valid address"}});
        }
    }
    return hosts;
}

} // namespace

Roster::Roster(const PlatformAdapter &platform, EventLoop &loop)
    : m_platform(platform)
    , m_loop(loop)
{
}

void Roster::read(std::function<void()> done)
{
    m_platform.readTable(
        rosterTable, [this, done = std::move(done)](const Result<RowSnapshot> &snapshot) mutable {
            if (m_stopped) {
                return;
            }
            if (!snapshot) {
                m_loop.postAfter(readRetryDelay, [this, done = std::move(done)]() mutable {
                    read(std::move(done));
                });
                return;
            }
            for (const Row &row : snapshot->rows) {
                if (row.key == rosterKey) {
                    m_inherited.merge(decode(row.value));
                    m_version = row.version;
                }
            }
            m_durable = m_inherited;
            m_read = true;
            done();
        });
}

void Roster::stop()
{
    m_stopped = true;
}

bool Roster::isRead() const
{
    return m_read;
}

const std::map<HostId, Endpoint> &Roster::inheritedHosts() const
{
    return m_inherited;
}

const std::map<HostId, Endpoint> &Roster::durableHosts() const
{
    return m_durable;
}

void Roster::write(const std::map<HostId, Endpoint> &hosts, std::function<void()> done)
{
    if (m_writing || hosts == m_durable) {
        return;
    }
    m_writing = true;
    Transaction transaction{.checks = {{rosterKey, m_version}},
                            .puts = {{rosterKey, encode(hosts)}}};
    m_platform.commit(std::move(transaction), [this, hosts, done = std::move(done)](
                                                  const Result<CommitVersions> &result) mutable {
        m_writing = false;
        if (result) {
            m_durable = hosts;
            m_version = result->at(rosterKey);
            done();
        } else if (result.error().code == ResultCode::CheckFailed) {
            read(std::move(done));
        }
    });
}

} // namespace acaciadeal::internal
