#include "fleet/fakehosts.h"

#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <utility>

namespace acaciadeal {
namespace {

milliseconds steadyClock()
{
    return std::chrono::duration_cast<milliseconds>(bootClockNow().time_since_epoch());
}

milliseconds clockOf(const FakeHost &host)
{
    return steadyClock() - host.clockStart;
}

void extendLease(FakeHost &host, milliseconds until)
{
    host.leaseUntil = std::max(host.leaseUntil, std::min(until, clockOf(host) + host.maxLease));
}

/// Returns whether the call is for another incarnation of the host.
bool isForOther(const HostCall &call, const FakeHost &host)
{
    return call.bootedAt && *call.bootedAt != host.bootedAt;
}

Error noAnswerError()
{
    return {ResultCode::TimedOut, "no answer", "host"};
}

/// Ends all active runs of @p host if its lease has expired.
void expireLease(FakeHost &host)
{
    if (host.leaseUntil > clockOf(host)) {
        return;
    }
    for (const auto &[task, run] : host.active) {
        host.ended.push_back({.number = ++host.lastEndNumber,
                              .task = task,
                              .run = run,
                              .end = RunEnd::LeaseLapsed,
                              .checkpoint = {}});
    }
    host.active.clear();
}

} // namespace

FakeHosts::FakeHosts(EventLoop &loop, int hosts)
    : m_loop(loop)
{
    for (int n = 0; n < hosts; ++n) {
        m_hosts["h" + std::to_string(n)] = {};
    }
}

FakeHost &FakeHosts::host(const std::string &id)
{
    return m_hosts.at(id);
}

std::vector<HostRecord> FakeHosts::records() const
{
    std::vector<HostRecord> records;
    for (const auto &[id, host] : m_hosts) {
        HostRecord record;
        record.host = {id};
        record.failureDomain = {"a"};
        record.endpoint = {id, 1};
        record.capacity = {.milliCores = 4000, .memoryMiB = 16000};
        record.service = {"svc"};
        records.push_back(std::move(record));
    }
    return records;
}

int FakeHosts::activeRuns(const TaskKey &task) const
{
    int n = 0;
    for (const auto &[id, host] : m_hosts) {
        n += host.active.contains(task) && host.leaseUntil > clockOf(host) ? 1 : 0;
    }
    return n;
}

int FakeHosts::closedClients() const
{
    return m_closedClients;
}

void FakeHosts::restart(const std::string &id)
{
    FakeHost &host = m_hosts.at(id);
    host.token = 0;
    host.lastEndNumber = 0;
    host.active.clear();
    host.ended.clear();
    host.leaseUntil = milliseconds(0);
    ++host.bootedAt;
    host.clockStart = steadyClock();
}

milliseconds FakeHosts::remainingLease(const std::string &id) const
{
    const FakeHost &host = m_hosts.at(id);
    return host.leaseUntil - clockOf(host);
}

void FakeHosts::endRun(const std::string &id, const TaskKey &task, RunEnd how)
{
    FakeHost &host = m_hosts.at(id);
    const auto it = host.active.find(task);
    if (it == host.active.end()) {
        return;
    }
    host.ended.push_back({.number = ++host.lastEndNumber,
                          .task = task,
                          .run = it->second,
                          .end = how,
                          .checkpoint = {}});
    host.active.erase(it);
}

void FakeHosts::renewLease(const HostCall &call, const RenewalCall &renewal,
                           ReportCallback callback)
{
    FakeHost &host = m_hosts.at(call.host.value);
    if (host.unresponsive) {
        m_loop.postAfter(call.timeout, [callback = std::move(callback)] {
            callback(tl::unexpected<Error>(noAnswerError()));
        });
        return;
    }
    if (host.replaced) {
        m_loop.post([callback = std::move(callback)] {
            callback(failure(ResultCode::HostReplaced, "another host has the address"));
        });
        return;
    }
    expireLease(host);
    if (call.token < host.token) {
        m_loop.post([callback = std::move(callback)] {
            callback(failure(ResultCode::StaleEpoch, "a higher token was seen"));
        });
        return;
    }
    host.token = call.token;
    if (!isForOther(call, host)) {
        if (renewal.leaseUntil) {
            extendLease(host, *renewal.leaseUntil);
        }
        host.acknowledgements.push_back(renewal.acknowledged);
        std::erase_if(host.ended, [&renewal](const ReportedRunEnd &ended) {
            return ended.number <= renewal.acknowledged;
        });
    }
    HostReport report{.hostClock = clockOf(host), .bootedAt = host.bootedAt, .ended = host.ended};
    report.complete = report.ended.size() < host.maxEndsPerReport;
    report.ended.resize(std::min(report.ended.size(), host.maxEndsPerReport));
    for (const auto &[task, run] : host.active) {
        report.active.push_back({.task = task, .run = run, .percent = 10});
    }
    // Waits for at most 5 ms, so that tests see ended runs soon.
    m_loop.postAfter(
        host.answerDelay + std::min<Duration>(renewal.wait, milliseconds(5)),
        [report = std::move(report), callback = std::move(callback)] { callback(report); });
}

void FakeHosts::startRun(const HostCall &call, const StartRun &order, milliseconds leaseUntil,
                         StartCallback callback)
{
    FakeHost &host = m_hosts.at(call.host.value);
    StartOutcome outcome = StartOutcome::Started;
    if (host.unresponsive) {
        outcome = StartOutcome::Unknown;
    } else if (call.token < host.token) {
        outcome = StartOutcome::Fenced;
    } else if (isForOther(call, host)) {
        outcome = StartOutcome::HostRestarted;
    } else {
        host.token = call.token;
        extendLease(host, leaseUntil);
        host.active[order.task] = order.run;
        host.starts.emplace_back(order.task, order.run);
        outcome = host.losesStartAnswers ? StartOutcome::Unknown : StartOutcome::Started;
    }
    m_loop.postAfter(milliseconds(1),
                     [outcome, callback = std::move(callback)] { callback(outcome, {}); });
}

void FakeHosts::stopRun(const HostCall &call, const StopRun &order, OrderCallback callback)
{
    const FakeHost &host = m_hosts.at(call.host.value);
    if (!host.unresponsive && !isForOther(call, host)) {
        endRun(call.host.value, order.task, RunEnd::Stopped);
    }
    m_loop.post([callback = std::move(callback)] { callback({}); });
}

HostClient FakeHosts::client()
{
    return {
        .startRun =
            [this](const HostCall &call, const StartRun &order, milliseconds leaseUntil,
                   StartCallback callback) {
                startRun(call, order, leaseUntil, std::move(callback));
            },
        .stopRun = [this](const HostCall &call, const StopRun &order,
                          OrderCallback callback) { stopRun(call, order, std::move(callback)); },
        .paceRun = [](const HostCall &, const PaceRun &,
                      const OrderCallback &callback) { callback({}); },
        .renewLease =
            [this](const HostCall &call, const RenewalCall &renewal, ReportCallback callback) {
                renewLease(call, renewal, std::move(callback));
            },
        .close =
            [this] {
                ++m_closedClients;
            }};
}

} // namespace acaciadeal
