#include "fleet/internal/roster.h"

#include "fleet/jobrows.h"
#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::internal {
namespace {

using nlohmann::json;

constexpr const char *rosterTable = "roster";
constexpr const char *rosterKey = "roster/main";
constexpr const char *leasesKeyPrefix = "roster/leases.";
constexpr Duration readRetryDelay = milliseconds(200);
/// Time after which the remaining times of a stored lease record are written again.
constexpr Duration leasesRefreshPeriod = std::chrono::seconds(1);
/// The last write is repeated once if an earlier one took effect whose answer was lost.
constexpr int lastWriteAttempts = 2;

/// Key of the row that each write of the lease record replaces.
std::string firstLeasesKey()
{
    return std::string(leasesKeyPrefix) + "0";
}

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
            onRows(snapshot->rows);
            m_read = true;
            done();
        });
}

void Roster::onRows(const std::vector<Row> &rows)
{
    std::vector<std::string> leases;
    m_durable.clear();
    for (const Row &row : rows) {
        if (row.key == rosterKey) {
            m_durable = decode(row.value);
            m_version = row.version;
        } else if (row.key.starts_with(leasesKeyPrefix)) {
            leases.push_back(row.value);
            if (row.key == firstLeasesKey()) {
                m_leasesVersion = row.version;
            }
        }
    }
    m_leaseRows = leases.size();
    Result<LeaseRecord> record = decodeLeases(leases);
    if (!record) {
        logEvent(EventId::RowIgnored,
                 {{"row", leasesKeyPrefix}, {"reason", record.error().message}});
        record = LeaseRecord();
    }
    if (m_read) {
        // Writes that were sent before have a condition that does not hold any more.
        replaceRecorded(*record);
    } else {
        m_inherited = m_durable;
        m_inheritedLeases = *record;
    }
    m_storedLeases = std::move(*record);
}

void Roster::stop()
{
    m_stopped = true;
}

/// Reads the row that an earlier write of unknown outcome has changed. Nothing is written
/// meanwhile, because the answer would be older than that write.
void Roster::readAgain(std::function<void()> done)
{
    m_writing = true;
    read([this, done = std::move(done)] {
        m_writing = false;
        done();
    });
}

bool Roster::isRead() const
{
    return m_read;
}

bool Roster::isWriting() const
{
    return m_writing;
}

const std::map<HostId, Endpoint> &Roster::inheritedHosts() const
{
    return m_inherited;
}

const std::map<HostId, Endpoint> &Roster::durableHosts() const
{
    return m_durable;
}

const LeaseRecord &Roster::inheritedLeases() const
{
    return m_inheritedLeases;
}

bool Roster::mayExtendLease(const HostId &host) const
{
    return !m_unextended.contains(host);
}

const std::set<TaskKey> &Roster::recordedTasks() const
{
    return m_recordedTasks;
}

void Roster::addRecorded(const LeaseRecord &leases)
{
    for (const auto &[id, lease] : leases.hosts) {
        m_unextended.insert(id);
        for (const auto &[task, run] : lease.runs.value_or(HostRuns())) {
            m_recordedTasks.insert(task);
        }
    }
}

void Roster::replaceRecorded(const LeaseRecord &leases)
{
    m_unextended.clear();
    m_recordedTasks.clear();
    addRecorded(leases);
}

bool Roster::isStored(const LeaseRecord &leases) const
{
    const auto &stored = m_storedLeases.hosts;
    const bool sameHosts =
        leases.epoch == m_storedLeases.epoch
        && std::equal(stored.begin(), stored.end(), leases.hosts.begin(), leases.hosts.end(),
                      [](const auto &a, const auto &b) {
                          return a.first == b.first && a.second.runs == b.second.runs;
                      });
    const bool anyRuns =
        std::any_of(leases.hosts.begin(), leases.hosts.end(),
                    [](const auto &entry) { return entry.second.remaining > milliseconds(0); });
    return sameHosts && !(anyRuns && bootClockNow() - m_leasesMadeAt >= leasesRefreshPeriod);
}

void Roster::commit(const std::map<HostId, Endpoint> &hosts, const LeaseRecord &leases,
                    std::function<void(const Result<CommitVersions> &)> done)
{
    m_writing = true;
    Transaction transaction{
        .checks = {{rosterKey, m_version}, {firstLeasesKey(), m_leasesVersion}}};
    std::size_t maxLeaseBytes = maxBytesPerWrite;
    // The list of hosts is large and changes less often than the leases. The first write contains
    // it, so that late writes of an earlier holder fail.
    if (hosts != m_durable || !m_hostsWritten) {
        const std::string value = encode(hosts);
        maxLeaseBytes -= value.size();
        transaction.puts.push_back({rosterKey, value});
    }
    const std::vector<std::string> rows = encodeLeases(leases, maxLeaseBytes);
    for (std::size_t n = 0; n < rows.size(); ++n) {
        transaction.puts.push_back({leasesKeyPrefix + std::to_string(n), rows[n]});
    }
    for (std::size_t n = rows.size(); n < m_leaseRows; ++n) {
        transaction.deletes.push_back(leasesKeyPrefix + std::to_string(n));
    }
    addRecorded(leases);
    m_platform.commit(std::move(transaction),
                      [this, hosts, leases, rowCount = rows.size(), madeAt = bootClockNow(),
                       done = std::move(done)](const Result<CommitVersions> &result) {
                          m_writing = false;
                          if (result) {
                              m_durable = hosts;
                              if (const auto it = result->find(rosterKey); it != result->end()) {
                                  m_version = it->second;
                                  m_hostsWritten = true;
                              }
                              m_leasesVersion = result->at(firstLeasesKey());
                              m_storedLeases = leases;
                              m_leasesMadeAt = madeAt;
                              m_leaseRows = rowCount;
                              replaceRecorded(leases);
                          }
                          done(result);
                          if (!m_writing && m_afterWrite) {
                              std::exchange(m_afterWrite, nullptr)();
                          }
                      });
}

void Roster::write(const std::map<HostId, Endpoint> &hosts, const LeaseRecord &leases,
                   std::function<void()> done)
{
    if (m_writing || (hosts == m_durable && isStored(leases))) {
        return;
    }
    commit(hosts, leases,
           [this, done = std::move(done)](const Result<CommitVersions> &result) mutable {
               if (result) {
                   done();
               } else if (result.error().code == ResultCode::CheckFailed) {
                   readAgain(std::move(done));
               }
           });
}

void Roster::writeLast(std::map<HostId, Endpoint> hosts, LeaseRecord leases,
                       std::function<void()> done)
{
    if (m_writing) {
        m_afterWrite = [this, hosts = std::move(hosts), leases = std::move(leases),
                        done = std::move(done)]() mutable {
            commitLast(hosts, leases, lastWriteAttempts, std::move(done));
        };
        return;
    }
    commitLast(hosts, leases, lastWriteAttempts, std::move(done));
}

void Roster::commitLast(const std::map<HostId, Endpoint> &hosts, const LeaseRecord &leases,
                        int attempts, std::function<void()> done)
{
    commit(hosts, leases,
           [this, hosts, leases, attempts,
            done = std::move(done)](const Result<CommitVersions> &result) mutable {
               if (result || result.error().code != ResultCode::CheckFailed || attempts <= 1) {
                   if (!result) {
                       logEvent(EventId::WriteOutcomeUnknown,
                                {{"what", "leases for the next holder"},
                                 {"reason", result.error().message}});
                   }
                   done();
                   return;
               }
               readAgain([this, hosts, leases, attempts, done = std::move(done)]() mutable {
                   commitLast(hosts, leases, attempts - 1, std::move(done));
               });
           });
}

} // namespace acaciadeal::internal
