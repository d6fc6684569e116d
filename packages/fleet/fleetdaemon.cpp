#include "fleet/fleetdaemon.h"

#include "fleet/fleetadapter.h"
#include "fleet/holder.h"
#include "fleet/jobfrontend.h"
#include "fleet/operatorwatch.h"
#include "fleet/ownership.h"
#include "fleet/statuspages.h"
#include "http/httprouter.h"
#include "http/httpserver.h"
#include "kernel/pluginregistry.h"
#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"
#include "wire/peerclient.h"
#include "wire/peerserver.h"

#include <future>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace acaciadeal {
namespace {

/// Time for which a daemon that shuts down still serves requests: the load balancer probes
/// readiness every second and removes a daemon after two failed probes.
constexpr Duration lingerTime = milliseconds(2500);
constexpr Duration releaseTimeout = milliseconds(1500);
/// Time limit of the whole shutdown after SIGTERM; the platform kills the process after 6 s.
constexpr Duration shutdownTimeLimit = milliseconds(5500);
/// Time for which a holder that lost the shard is kept alive. Its callbacks have run by then: it is
/// the longest timeout of a call.
constexpr Duration stoppedHolderLifetime = std::chrono::seconds(10);
/// Upper bound of the lease of a host. The tasks of a failed host can be restarted only after its
/// lease has expired, so a longer lease delays them for too little gain. Network partitions of a
/// failure domain last 5 to 7 s, and the work there survives them with this lease.
constexpr milliseconds maxGrantedLease{6000};
/// Margin below the hosts' maximum lease; allows for readings of their clocks that arrive late.
constexpr milliseconds leaseMargin{100};
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;

/// Processor share and link speed that a daemon needs to hold a shard of several hundred hosts. A
/// holder used 0.16 of a core at 350 hosts and 600 starts per second, and the size of a start order
/// is a few kilobytes.
constexpr double minHolderCoreShare = 0.25;
constexpr double minHolderLinkMbps = 50;
/// Time for which daemons on smaller hosts leave a free shard to the others. Daemons poll every
/// 0.4 s.
constexpr Duration smallHostClaimDelay = milliseconds(1500);

Duration claimDelay(const FleetSettings &settings)
{
    const bool belowMinimum = (settings.coreShare > 0 && settings.coreShare < minHolderCoreShare)
                              || (settings.linkMbps > 0 && settings.linkMbps < minHolderLinkMbps);
    return belowMinimum ? smallHostClaimDelay : Duration(0);
}

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

/// Runs @p start on the loop and waits until it calls its callback, for at most @p timeout.
template<typename Start>
void waitFor(EventLoop &loop, Duration timeout, Start start)
{
    auto done = std::make_shared<std::promise<void>>();
    auto called = std::make_shared<bool>(false);
    loop.post([start = std::move(start), done, called]() mutable {
        start([done, called] {
            if (!std::exchange(*called, true)) {
                done->set_value();
            }
        });
    });
    done->get_future().wait_for(timeout);
}

} // namespace

struct FleetDaemon::Impl
{
    explicit Impl(DaemonSettings daemonSettings)
        : settings(std::move(daemonSettings))
        , loop({.threads = 1})
        , peers(loop)
        , metrics({})
    {
    }

    Result<void> createComponents();
    Result<void> openSockets();
    void onShardClaimed(std::uint64_t epoch, const PreviousHolder &previous);
    void stopHolder();
    void onOperatorViewChanged();
    Result<std::map<std::string, std::size_t>> pendingJobs() const;
    void updateHolderMetrics();
    StatusInputs statusInputs() const;

    DaemonSettings settings;
    EventLoop loop;
    PeerClient peers;
    Metrics metrics;
    PlatformAdapter platform;
    FleetAdapter adapter;
    std::unique_ptr<ShardOwnership> ownership;
    std::unique_ptr<OperatorWatch> operatorWatch;
    std::unique_ptr<JobFrontend> frontend;
    std::shared_ptr<FleetHolder> holder;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<PeerServer> peerServer;
    bool stopping = false;
};

Result<void> FleetDaemon::Impl::createComponents()
{
    const auto plugin = PluginRegistry<PlatformPlugin>::instance().find(settings.platformAdapter);
    if (!plugin) {
        return tl::unexpected<Error>(plugin.error());
    }
    const auto found = PluginRegistry<FleetAdapter>::instance().find(settings.fleet->adapter);
    if (!found) {
        return tl::unexpected<Error>(found.error());
    }
    adapter = *found;
    platform = plugin->create(
        loop, {.endpoint = settings.platformEndpoint, .timeout = settings.platformTimeout});
    if (!platform.changes || !platform.readTable) {
        return failure(ResultCode::IncompatibleSettings,
                       "the platform adapter cannot read tables and their changes",
                       "/platform/adapter");
    }
    ownership = std::make_unique<ShardOwnership>(
        loop, platform,
        OwnershipOptions{.daemon = settings.daemon,
                         .incarnation = newIncarnation(),
                         .peer = settings.peerListen,
                         .claimDelay = claimDelay(*settings.fleet)},
        OwnershipCallbacks{
            .onHeld = [this](std::uint64_t epoch,
                             const PreviousHolder &previous) { onShardClaimed(epoch, previous); },
            .onLost =
                [this](const std::string &) {
                    stopHolder();
                }});
    operatorWatch = std::make_unique<OperatorWatch>(loop, platform, adapter.operatorTableSchema(),
                                                    OperatorWatchOptions{},
                                                    [this] { onOperatorViewChanged(); });
    frontend = std::make_unique<JobFrontend>(
        JobFrontendEnvironment{.loop = loop,
                               .platform = platform,
                               .peers = peers,
                               .metrics = metrics,
                               .localHolder = [this] { return holder.get(); },
                               .owner = [this]() -> const OwnerRecord & {
                                   return ownership->holder();
                               }},
        JobFrontendOptions{});
    return {};
}

void FleetDaemon::Impl::onShardClaimed(std::uint64_t epoch, const PreviousHolder &previous)
{
    stopHolder();
    holder = std::make_shared<FleetHolder>(
        FleetHolderEnvironment{
            .loop = loop,
            .platform = platform,
            .hosts = adapter.createHostClient(loop),
            .metrics = metrics,
            .mayAct = [this] { return ownership->mayAct(); },
            .sinceHeartbeat = [this] { return bootClockNow() - ownership->confirmedAt(); },
            .onFenced =
                [this](const std::string &reason) {
                    ownership->stepDown(reason);
                }},
        FleetHolderOptions{.epoch = epoch,
                           .previous = previous,
                           .lease =
                               std::min(maxGrantedLease, settings.fleet->maxLease - leaseMargin),
                           .maxHostLease = settings.fleet->maxLease});
    if (operatorWatch->view() != nullptr) {
        holder->setEvacuated(operatorWatch->view()->evacuated);
    }
    holder->start();
}

void FleetDaemon::Impl::stopHolder()
{
    if (!holder) {
        return;
    }
    holder->stop();
    loop.postAfter(stoppedHolderLifetime,
                   [stoppedHolder = std::move(holder)] { (void)stoppedHolder; });
    holder.reset();
}

void FleetDaemon::Impl::onOperatorViewChanged()
{
    if (holder) {
        holder->setEvacuated(operatorWatch->view()->evacuated);
    }
}

Result<std::map<std::string, std::size_t>> FleetDaemon::Impl::pendingJobs() const
{
    if (!holder) {
        return failure(ResultCode::NotHolder, "this daemon does not hold the shard");
    }
    return holder->countPendingJobsByQueue();
}

/// Sets the gauges that only the holder can give. They are not a number on the other daemons: zero
/// would say that no job is pending.
void FleetDaemon::Impl::updateHolderMetrics()
{
    double n = std::numeric_limits<double>::quiet_NaN();
    if (const auto pending = pendingJobs()) {
        n = 0;
        for (const auto &[queue, jobs] : *pending) {
            n += static_cast<double>(jobs);
        }
    }
    metrics.set("fleet_pending_jobs", {}, n);
}

StatusInputs FleetDaemon::Impl::statusInputs() const
{
    return {.daemon = settings.daemon,
            .mayAct = ownership->mayAct(),
            .owner = ownership->holder(),
            .view = operatorWatch->view(),
            .dispatcher = holder ? &holder->dispatcher() : nullptr,
            .pendingJobs = pendingJobs(),
            .now = bootClockNow()};
}

Result<void> FleetDaemon::Impl::openSockets()
{
    peerServer = std::make_unique<PeerServer>(
        loop, PeerServerOptions{.listen = settings.peerListen},
        [this](PeerMessage message, const PeerResponder &respond) {
            if (const auto *request = std::get_if<ForwardedRequest>(&message)) {
                frontend->serve(*request, respond);
            } else {
                respond(Refusal{{ResultCode::UnknownMessage, "not a request about jobs"}});
            }
        },
        [](const Error &error) {
            logEvent(EventId::FrameRefused, {{"message", error.message}});
        });
    if (auto started = peerServer->start(); !started) {
        return started;
    }
    const CallerEnvironment environment{.jobs = *frontend, .view = [this] {
                                            return operatorWatch->view();
                                        }};
    callerServer =
        std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = settings.httpListen},
                                     adapter.createCallerHandler(environment));
    readinessServer =
        std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = settings.fleet->readyListen},
                                     [this](const HttpRequest &, const HttpResponder &respond) {
                                         const bool ready =
                                             !stopping && operatorWatch->view() != nullptr;
                                         respond({.status = ready ? statusOk : statusUnavailable});
                                     });
    for (HttpServer *const server : {callerServer.get(), readinessServer.get()}) {
        if (auto started = server->start(); !started) {
            return started;
        }
    }
    if (settings.fleet->metricsListen.port == 0) {
        return {};
    }
    metricsServer = std::make_unique<HttpServer>(
        loop, HttpServerOptions{.listen = settings.fleet->metricsListen},
        [this](const HttpRequest &request, const HttpResponder &respond) {
            const std::string path = pathOf(request.target);
            if (path.starts_with("/v1/")) {
                respond(statusPage(path, statusInputs()));
                return;
            }
            for (const EventInfo &info : eventCatalogue()) {
                if (const std::uint64_t n = eventCount(info.id); n > 0) {
                    metrics.set("fleet_log_events", {{"event", std::string(info.name)}},
                                static_cast<double>(n));
                }
            }
            updateHolderMetrics();
            respond(
                {statusOk, {{"content-type", "text/plain; version=0.0.4"}}, metrics.exposition()});
        });
    return metricsServer->start();
}

FleetDaemon::FleetDaemon(const DaemonSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

FleetDaemon::~FleetDaemon() = default;

Result<void> FleetDaemon::start()
{
    if (auto created = m_impl->createComponents(); !created) {
        return created;
    }
    if (auto opened = m_impl->openSockets(); !opened) {
        return opened;
    }
    m_impl->loop.post([impl = m_impl.get()] {
        impl->operatorWatch->start();
        impl->ownership->start();
    });
    return {};
}

void FleetDaemon::shutDown()
{
    Impl &impl = *m_impl;
    const TimePoint startedAt = bootClockNow();
    waitFor(impl.loop, releaseTimeout, [&impl](const std::function<void()> &done) {
        impl.stopping = true;
        impl.callerServer->closeAfterAnswers();
        const auto release = [&impl, done] {
            impl.ownership->release([&impl, done] {
                impl.stopHolder();
                done();
            });
        };
        if (impl.holder) {
            impl.holder->finish(release);
        } else {
            release();
        }
    });
    const Duration spent = bootClockNow() - startedAt;
    waitFor(impl.loop, shutdownTimeLimit - spent, [&impl, spent](std::function<void()> done) {
        impl.loop.postAfter(std::max(lingerTime - spent, Duration(0)),
                            [&impl, done = std::move(done)] { impl.callerServer->drain(done); });
    });
}

} // namespace acaciadeal
