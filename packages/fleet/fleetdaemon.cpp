#include "fleet/fleetdaemon.h"

#include "fleet/fleetadapter.h"
#include "fleet/holder.h"
#include "fleet/jobfront.h"
#include "fleet/operatorwatch.h"
#include "fleet/ownership.h"
#include "fleet/statuspages.h"
#include "http/httpclient.h"
#include "http/httprouter.h"
#include "http/httpserver.h"
#include "kernel/pluginregistry.h"
#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"
#include "wire/peerclient.h"
#include "wire/peerserver.h"

#include <future>
#include <optional>
#include <utility>

namespace acaciadeal {
namespace {

/// Time in which a daemon that shuts down still serves: the balancer probes every second and drops
/// a daemon after two misses.
constexpr Duration lingerTime = milliseconds(2500);
constexpr Duration releaseTimeout = milliseconds(1500);
/// Time for everything between SIGTERM and the end; the platform kills what is there after 6 s.
constexpr Duration stopBudget = milliseconds(5500);
/// Callbacks of a holder that lost the shard end within this time: the longest timeout of a call.
constexpr Duration retireTime = std::chrono::seconds(10);
/// A longer lease is not worth its price: the tasks of a host that vanished wait for it. Cuts of a
/// failure domain last 5 to 7 s, and work there survives them with this one.
constexpr milliseconds longestLease{6000};
/// Difference to the hosts' limit, so that readings of their clocks may be late.
constexpr milliseconds leaseMargin{100};
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;

/// What a host needs to hold a shard of some hundred hosts: 0.16 of a core was used at 350 hosts
/// and 600 starts a second, and each start carries a few kilobytes.
constexpr double fitCoreShare = 0.25;
constexpr double fitLinkMbps = 50;
/// Time that daemons on smaller hosts leave to the others; they poll every 0.4 s.
constexpr Duration unfitDefers = milliseconds(1500);

Duration claimDelay(const FleetSettings &settings)
{
    const bool unfit = (settings.coreShare > 0 && settings.coreShare < fitCoreShare)
                       || (settings.linkMbps > 0 && settings.linkMbps < fitLinkMbps);
    return unfit ? unfitDefers : Duration(0);
}

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

/// Runs @p start on the loop, which calls back once, and waits up to @p timeout.
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
        , client(loop, {})
        , peers(loop)
        , metrics({})
    {
    }

    Result<void> create();
    Result<void> openSockets();
    void hold(std::uint64_t epoch, TimePoint since);
    void lose();
    void onOperators();
    StatusInputs statusInputs() const;

    DaemonSettings settings;
    EventLoop loop;
    HttpClient client;
    PeerClient peers;
    Metrics metrics;
    PlatformAdapter platform;
    FleetAdapter adapter;
    std::unique_ptr<ShardOwnership> ownership;
    std::unique_ptr<OperatorWatch> operators;
    std::unique_ptr<JobFront> front;
    std::shared_ptr<FleetHolder> holder;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<PeerServer> peerServer;
    bool stopping = false;
};

Result<void> FleetDaemon::Impl::create()
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
        return failure(ResultCode::IncompatibleSettings, "the adapter has no feed of changes",
                       "/platform/adapter");
    }
    ownership = std::make_unique<ShardOwnership>(
        loop, platform,
        OwnershipOptions{.daemon = settings.daemon,
                         .incarnation = newIncarnation(),
                         .peer = settings.peerListen,
                         .deferClaim = claimDelay(*settings.fleet)},
        OwnershipCallbacks{
            .onHeld = [this](std::uint64_t epoch, TimePoint since) { hold(epoch, since); },
            .onLost =
                [this](const std::string &) {
                    lose();
                }});
    operators = std::make_unique<OperatorWatch>(loop, platform, adapter.operators(),
                                                OperatorWatchOptions{}, [this] { onOperators(); });
    front = std::make_unique<JobFront>(
        JobFrontEnvironment{.loop = loop,
                            .platform = platform,
                            .peers = peers,
                            .metrics = metrics,
                            .localHolder = [this] { return holder.get(); },
                            .owner = [this]() -> const OwnerRecord & {
                                return ownership->holder();
                            }},
        JobFrontOptions{});
    return {};
}

void FleetDaemon::Impl::hold(std::uint64_t epoch, TimePoint since)
{
    lose();
    holder = std::make_shared<FleetHolder>(
        FleetHolderEnvironment{.loop = loop,
                               .platform = platform,
                               .hosts = adapter.hosts(client),
                               .metrics = metrics,
                               .mayAct = [this] { return ownership->mayAct(); },
                               .onFenced =
                                   [this](const std::string &reason) {
                                       ownership->depose(reason);
                                   }},
        FleetHolderOptions{.epoch = epoch,
                           .previousStoppedAt = since,
                           .lease =
                               std::min(longestLease, settings.fleet->maxLease - leaseMargin)});
    if (operators->view() != nullptr) {
        holder->setEvacuated(operators->view()->evacuated);
    }
    holder->start();
}

void FleetDaemon::Impl::lose()
{
    if (!holder) {
        return;
    }
    holder->stop();
    loop.postAfter(retireTime, [retired = std::move(holder)] { (void)retired; });
    holder.reset();
}

void FleetDaemon::Impl::onOperators()
{
    if (holder) {
        holder->setEvacuated(operators->view()->evacuated);
    }
}

StatusInputs FleetDaemon::Impl::statusInputs() const
{
    return {.daemon = settings.daemon,
            .mayAct = ownership->mayAct(),
            .owner = ownership->holder(),
            .view = operators->view(),
            .dispatcher = holder ? &holder->dispatcher() : nullptr,
            .now = bootClockNow()};
}

Result<void> FleetDaemon::Impl::openSockets()
{
    peerServer = std::make_unique<PeerServer>(
        loop, PeerServerOptions{.listen = settings.peerListen},
        [this](PeerMessage message, const PeerResponder &respond) {
            if (const auto *request = std::get_if<ForwardedRequest>(&message)) {
                front->serve(*request, respond);
            } else {
                respond(Refusal{{ResultCode::UnknownMessage, "not a question about jobs"}});
            }
        },
        [](const Error &error) {
            logEvent(EventId::FrameRefused, {{"message", error.message}});
        });
    if (auto started = peerServer->start(); !started) {
        return started;
    }
    const CallerEnvironment environment{.jobs = *front, .view = [this] {
                                            return operators->view();
                                        }};
    callers = std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = settings.httpListen},
                                           adapter.callers(environment));
    readiness =
        std::make_unique<HttpServer>(loop, HttpServerOptions{.listen = settings.fleet->readyListen},
                                     [this](const HttpRequest &, const HttpResponder &respond) {
                                         const bool ready =
                                             !stopping && operators->view() != nullptr;
                                         respond({.status = ready ? statusOk : statusUnavailable});
                                     });
    for (HttpServer *const server : {callers.get(), readiness.get()}) {
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
    if (auto created = m_impl->create(); !created) {
        return created;
    }
    if (auto opened = m_impl->openSockets(); !opened) {
        return opened;
    }
    m_impl->loop.post([impl = m_impl.get()] {
        impl->operators->start();
        impl->ownership->start();
    });
    return {};
}

void FleetDaemon::shutDown()
{
    Impl &impl = *m_impl;
    const TimePoint begun = bootClockNow();
    waitFor(impl.loop, releaseTimeout, [&impl](const std::function<void()> &done) {
        impl.stopping = true;
        impl.callers->closeAfterAnswers();
        const auto release = [&impl, done] {
            impl.ownership->release([&impl, done] {
                impl.lose();
                done();
            });
        };
        if (impl.holder) {
            impl.holder->finish(release);
        } else {
            release();
        }
    });
    const Duration spent = bootClockNow() - begun;
    waitFor(impl.loop, stopBudget - spent, [&impl, spent](std::function<void()> done) {
        impl.loop.postAfter(std::max(lingerTime - spent, Duration(0)),
                            [&impl, done = std::move(done)] { impl.callers->drain(done); });
    });
}

} // namespace acaciadeal
