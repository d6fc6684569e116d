#include "daemon/daemon.h"

#include "daemon/adminservice.h"
#include "daemon/alertservice.h"
#include "daemon/context.h"
#include "daemon/holdersettings.h"
#include "daemon/jobservice.h"
#include "daemon/memberservice.h"
#include "daemon/platformwatch.h"
#include "daemon/requestservice.h"
#include "daemon/settingsservice.h"
#include "daemon/shardrunner.h"
#include "embedded/workerserver.h"
#include "http/httpserver.h"
#include "kernel/pluginregistry.h"
#include "logging/log.h"
#include "wire/peerserver.h"

#include <future>
#include <optional>
#include <utility>

namespace acaciadeal {
namespace {

/// Delay after the start before this daemon uses its share of the instances. Within it, two
/// heartbeats reach the other daemons of the failure domain, which then reduce their own shares.
constexpr Duration instanceShareDelay = std::chrono::seconds(2);
/// Time for which a daemon that is shutting down keeps its connections open and refuses requests,
/// so that callers switch to other daemons before their connections are closed.
constexpr Duration refusalPeriod = std::chrono::seconds(1);
/// At most one idle connection per slot of an instance. Nine daemons then stay within its limit of
/// 64 connections (9 * 7 = 63), even before all of them know of a newly started daemon.
constexpr std::size_t maxIdleConnectionsPerInstance = 7;
/// Longest wait for the shards to be released and the member row to be deleted at shutdown.
constexpr Duration releaseTimeout = std::chrono::seconds(5);
/// Time without an update of the alive row after which a daemon of another failure domain claims a
/// shard. It is 30 s longer than for daemons of the shard's own domain, so that they claim first.
constexpr Duration claimOtherDomainAfter = std::chrono::seconds(36);

MemberInfo makeMemberInfo(const DaemonSettings &settings)
{
    // The incarnation only has to increase from one start of a daemon to the next, which wall-clock
    // time does.
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    return {.daemon = settings.daemon,
            .incarnation = static_cast<std::uint64_t>(micros),
            .failureDomain = settings.failureDomain,
            .http = settings.httpListen,
            .peer = settings.peerListen};
}

/// Runs @p start on @p loop and blocks until it has called its callback, which it does once.
template<typename Start>
void waitFor(EventLoop &loop, Start start)
{
    auto done = std::make_shared<std::promise<void>>();
    loop.post([start = std::move(start), done] { start([done] { done->set_value(); }); });
    done->get_future().wait();
}

} // namespace

struct Daemon::Impl
{
    explicit Impl(DaemonSettings daemonSettings)
        : settings(std::move(daemonSettings))
        , control({.threads = 1})
        , traffic({.threads = settings.trafficThreads})
        , controlClient(control, {})
        , trafficClient(traffic, {.maxIdleConnectionsPerEndpoint = maxIdleConnectionsPerInstance})
        , peers(traffic)
        , metrics({})
    {
    }

    Result<void> createPlatform();
    Result<void> createServices();
    Result<void> createShards();
    void addCommonRoutes();
    Result<void> openSockets();
    void startServices();

    void onPlatformView();
    void onHeartbeat(const Heartbeat &heartbeat);
    void onMembers(const std::vector<MemberInfo> &members);
    void startSharingInstances();
    void onPeerMessage(PeerMessage message, const PeerResponder &respond);
    std::vector<DaemonId> membersOfDomain() const;
    void pushSettings(const SettingsEntries &entries);
    void fetchSettingsFrom(const Endpoint &peer);

    DaemonSettings settings;
    HttpRouter router;
    EventLoop control;
    EventLoop traffic;
    HttpClient controlClient;
    HttpClient trafficClient;
    PeerClient peers;
    Metrics metrics;
    PlatformAdapter platform;
    std::optional<DaemonContext> context;

    std::unique_ptr<PlatformWatch> watch;
    std::unique_ptr<MemberService> members;
    std::unique_ptr<SettingsService> settingsService;
    std::unique_ptr<RequestService> requests;
    std::vector<std::unique_ptr<ShardRunner>> shards;
    std::unique_ptr<JobService> jobs;
    std::unique_ptr<AdminService> admin;
    std::unique_ptr<AlertService> alerts;
    std::unique_ptr<embedded::WorkerServer> worker;
    std::unique_ptr<HttpServer> httpServer;
    std::unique_ptr<PeerServer> peerServer;
    std::map<DaemonId, std::set<std::string>> leavingByPeer;
    bool fetchingSettings = false;
    /// Whether this daemon already uses its share of the instances; see instanceShareDelay.
    bool sharesInstances = false;
};

Result<void> Daemon::Impl::createPlatform()
{
    const auto plugin = PluginRegistry<PlatformPlugin>::instance().find(settings.platformAdapter);
    if (!plugin) {
        return tl::unexpected<Error>(plugin.error());
    }
    if (!plugin->durable) {
        logEvent(EventId::EmbeddedPlatform, {{"adapter", settings.platformAdapter}});
    }
    std::vector<HostRecord> hosts;
    if (settings.embeddedWorker) {
        worker = std::make_unique<embedded::WorkerServer>(control, settings.failureDomain);
        if (auto started = worker->start(); !started) {
            return started;
        }
        hosts.push_back(worker->hostRecord());
    }
    platform = plugin->create(control, {.endpoint = settings.platformEndpoint,
                                        .timeout = settings.platformTimeout,
                                        .hosts = std::move(hosts)});
    context.emplace(DaemonContext{.settings = settings,
                                  .control = control,
                                  .traffic = traffic,
                                  .platform = platform,
                                  .controlClient = controlClient,
                                  .trafficClient = trafficClient,
                                  .peers = peers,
                                  .metrics = metrics,
                                  .router = router});
    return {};
}

Result<void> Daemon::Impl::createShards()
{
    const auto placement =
        PluginRegistry<PlacementPolicy>::instance().find(settings.placementPolicy);
    if (!placement) {
        return tl::unexpected<Error>(placement.error());
    }
    for (const FailureDomainId &domain : settings.failureDomains) {
        ShardRunnerOptions options{.holder = {.placement = *placement}};
        if (domain != settings.failureDomain) {
            options.claimAfter = claimOtherDomainAfter;
        }
        shards.push_back(
            std::make_unique<ShardRunner>(*context, *watch, ShardId{domain.value}, options));
    }
    return {};
}

Result<void> Daemon::Impl::createServices()
{
    watch = std::make_unique<PlatformWatch>(*context, PlatformWatchOptions{});
    if (auto created = createShards(); !created) {
        return created;
    }
    auto requestService = RequestService::create(*context);
    if (!requestService) {
        return tl::unexpected<Error>(requestService.error());
    }
    requests = std::move(*requestService);
    settingsService = std::make_unique<SettingsService>(
        *context, SettingsServiceOptions{.pushToPeers = [this](const SettingsEntries &entries) {
            pushSettings(entries);
        }});
    members = std::make_unique<MemberService>(
        *context, makeMemberInfo(settings),
        MemberServiceCallbacks{
            .heartbeatContent =
                [this] {
                    const std::set<std::string> leaving = requests->leavingInstances();
                    return HeartbeatContent{{leaving.begin(), leaving.end()},
                                            settingsService->version()};
                },
            .onHeartbeat = [this](const Heartbeat &heartbeat) { onHeartbeat(heartbeat); },
            .onMembers =
                [this](const std::vector<MemberInfo> &live) {
                    onMembers(live);
                }});
    jobs = std::make_unique<JobService>(*context, *watch);
    admin = std::make_unique<AdminService>(
        *context, *watch, *members, shards,
        AdminSources{.settingsVersion = [this] { return settingsService->version(); },
                     .requestsInProgress =
                         [this] {
                             return requests->inProgress();
                         }});
    alerts = std::make_unique<AlertService>(
        *context, AlertSources{.settings = [this] { return settingsService->current(); },
                               .membersOfDomain =
                                   [this] {
                                       return membersOfDomain();
                                   }});
    addCommonRoutes();
    jobs->addRoutes();
    admin->addRoutes();
    alerts->addRoutes();
    return {};
}

void Daemon::Impl::addCommonRoutes()
{
    router.add(
        {"GET", "/metrics", [this](const HttpRequest &, const HttpResponder &respond) {
             respond({200, {{"content-type", "text/plain; version=0.0.4"}}, metrics.exposition()});
         }});
    router.add({"GET", "/healthz", [](const HttpRequest &, const HttpResponder &respond) {
                    respond(jsonResponse(R"({"status":"ok"})"));
                }});
}

Result<void> Daemon::Impl::openSockets()
{
    peerServer = std::make_unique<PeerServer>(
        traffic, PeerServerOptions{.listen = settings.peerListen},
        [this](PeerMessage message, const PeerResponder &respond) {
            onPeerMessage(std::move(message), respond);
        },
        [](const Error &error) {
            logEvent(EventId::FrameRefused, {{"code", std::to_string(static_cast<int>(error.code))},
                                             {"message", error.message}});
        });
    if (auto started = peerServer->start(); !started) {
        return started;
    }
    httpServer =
        std::make_unique<HttpServer>(traffic, HttpServerOptions{.listen = settings.httpListen},
                                     [this](HttpRequest request, HttpResponder respond) {
                                         router.handle(std::move(request), std::move(respond));
                                     });
    return httpServer->start();
}

void Daemon::Impl::startServices()
{
    control.post([this] {
        settingsService->onChange([this](const std::shared_ptr<const SettingsTree> &tree) {
            for (const auto &shard : shards) {
                shard->applySettings(
                    [&tree](HolderOptions &options) { applyHolderSettings(*tree, options); });
            }
        });
        watch->start([this] { onPlatformView(); });
        members->start();
        alerts->start();
        if (settings.seeds.empty()) {
            startSharingInstances();
        } else {
            control.postAfter(instanceShareDelay, [this] { startSharingInstances(); });
        }
        for (const auto &shard : shards) {
            shard->start();
        }
    });
}

void Daemon::Impl::onPlatformView()
{
    const PlatformView &view = watch->view();
    const TimePoint now = std::chrono::steady_clock::now();
    for (const auto &shard : shards) {
        shard->onPlatformView(now);
    }
    if (view.lastRowRead) {
        members->onMembersListed(view.members);
    }
    std::vector<HostRecord> instances;
    for (const HostRecord &host : view.hosts) {
        if (!host.service.empty()) {
            instances.push_back(host);
        }
    }
    requests->setInstances(instances);
    std::map<FailureDomainId, DomainCondition> domains;
    for (const auto &[domain, domainView] : view.domains) {
        domains[domain] = domainView.row.in ? DomainCondition::In : DomainCondition::Out;
    }
    requests->setDomainStates(std::move(domains));
}

void Daemon::Impl::onHeartbeat(const Heartbeat &heartbeat)
{
    if (heartbeat.sender.failureDomain == settings.failureDomain) {
        leavingByPeer[heartbeat.sender.daemon] = {heartbeat.leavingInstances.begin(),
                                                  heartbeat.leavingInstances.end()};
        std::set<std::string> leaving;
        for (const auto &[daemon, instances] : leavingByPeer) {
            leaving.insert(instances.begin(), instances.end());
        }
        requests->setLeavingInstances(leaving);
    }
    if (heartbeat.settingsVersion > settingsService->version()) {
        fetchSettingsFrom(heartbeat.sender.peer);
    }
}

void Daemon::Impl::onMembers(const std::vector<MemberInfo> &members)
{
    std::set<DaemonId> live;
    for (const MemberInfo &member : members) {
        live.insert(member.daemon);
    }
    std::erase_if(leavingByPeer, [&live](const auto &item) { return !live.contains(item.first); });
    std::vector<MemberInfo> sharing = members;
    if (!sharesInstances) {
        std::erase_if(
            sharing, [this](const MemberInfo &member) { return member.daemon == settings.daemon; });
    }
    requests->setMembers(sharing);
}

void Daemon::Impl::startSharingInstances()
{
    sharesInstances = true;
    onMembers(members->live());
}

std::vector<DaemonId> Daemon::Impl::membersOfDomain() const
{
    std::vector<DaemonId> result;
    for (const MemberInfo &member : members->live()) {
        if (member.failureDomain == settings.failureDomain) {
            result.push_back(member.daemon);
        }
    }
    return result;
}

void Daemon::Impl::fetchSettingsFrom(const Endpoint &peer)
{
    if (fetchingSettings) {
        return;
    }
    fetchingSettings = true;
    peers.call(peer, SettingsFetch{settingsService->version()}, std::chrono::seconds(2),
               [this, peer](Result<PeerMessage> answer) {
                   control.post([this, peer, answer = std::move(answer)] {
                       fetchingSettings = false;
                       const auto *entries =
                           answer ? std::get_if<SettingsEntries>(&*answer) : nullptr;
                       if (entries == nullptr || entries->entries.empty()) {
                           return;
                       }
                       const std::uint64_t before = settingsService->version();
                       // An answer is limited in size, so there may be more entries to fetch.
                       if (settingsService->onPeerEntries(*entries)
                           && settingsService->version() > before) {
                           fetchSettingsFrom(peer);
                       }
                   });
               });
}

void Daemon::Impl::pushSettings(const SettingsEntries &entries)
{
    for (const MemberInfo &member : members->live()) {
        if (member.daemon != settings.daemon) {
            peers.call(member.peer, entries, std::chrono::seconds(2),
                       [](const Result<PeerMessage> &) {
                           // A peer that misses the push sees the newer version in the next
                           // heartbeat and fetches the entries.
                       });
        }
    }
}

void Daemon::Impl::onPeerMessage(PeerMessage message, const PeerResponder &respond)
{
    if (auto *request = std::get_if<ForwardedRequest>(&message)) {
        requests->handleForwardedRequest(*request, respond);
        return;
    }
    control.post([this, message = std::move(message), respond] {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
            respond(members->answerHeartbeat(*heartbeat));
        } else if (const auto *entries = std::get_if<SettingsEntries>(&message)) {
            settingsService->onPeerEntries(*entries);
            respond(SettingsEntries{});
        } else if (const auto *fetch = std::get_if<SettingsFetch>(&message)) {
            respond(settingsService->onSettingsFetch(fetch->afterVersion));
        } else {
            respond(Refusal{{ResultCode::UnknownMessage,
                             "the message is not a request that a daemon answers", "body"}});
        }
    });
}

Daemon::Daemon(DaemonSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon()
{
    // Handlers hold references to the services, so stop the threads before destroying anything.
    m_impl->traffic.stop();
    m_impl->control.stop();
}

Result<void> Daemon::start()
{
    if (auto created = m_impl->createPlatform(); !created) {
        return created;
    }
    if (auto created = m_impl->createServices(); !created) {
        return created;
    }
    if (auto opened = m_impl->openSockets(); !opened) {
        return opened;
    }
    m_impl->startServices();
    return {};
}

void Daemon::shutDown()
{
    Impl &impl = *m_impl;
    // Announce the shutdown first, so that peers stop forwarding requests before any is refused.
    waitFor(impl.control,
            [&impl](std::function<void()> done) { impl.members->announceLeave(std::move(done)); });
    impl.httpServer->closeAfterAnswers();
    waitFor(impl.traffic,
            [&impl](std::function<void()> done) { impl.requests->drain(std::move(done)); });
    // Callers that sent a request in the meantime receive a refusal, not a closed connection.
    waitFor(impl.traffic, [&impl](std::function<void()> done) {
        impl.traffic.postAfter(refusalPeriod, std::move(done));
    });
    waitFor(impl.traffic,
            [&impl](std::function<void()> done) { impl.httpServer->drain(std::move(done)); });
    waitFor(impl.traffic,
            [&impl](std::function<void()> done) { impl.peerServer->drain(std::move(done)); });
    // While the platform is down the rows cannot be written. Peers then detect the shutdown by the
    // missing heartbeats and the unchanged alive rows.
    auto released = std::make_shared<std::promise<void>>();
    impl.control.post([&impl, released] {
        auto remaining = std::make_shared<std::size_t>(impl.shards.size() + 1);
        const auto done = [remaining, released] {
            if (--*remaining == 0) {
                released->set_value();
            }
        };
        impl.members->removeOwnRow(done);
        for (const auto &shard : impl.shards) {
            shard->release(done);
        }
    });
    released->get_future().wait_for(releaseTimeout);
}

} // namespace acaciadeal
