#include "daemon/adminservice.h"

#include "daemon/rowkeys.h"
#include "logging/log.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

namespace {

constexpr Duration memberQueryTimeout = std::chrono::seconds(2);
constexpr std::string_view operatorTeam = "system";

std::string_view stateName(TaskState state)
{
    switch (state) {
    case TaskState::Queued:
        return "queued";
    case TaskState::Placed:
        return "placed";
    case TaskState::Evicted:
        return "evicted";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    case TaskState::Cancelled:
        return "cancelled";
    case TaskState::Impossible:
        return "impossible";
    case TaskState::Moved:
        return "moved";
    }
    return "unrecognized";
}

json toJson(const Task &task, const ShardId &shard)
{
    return {{"task", task.spec.id.value},
            {"job", task.spec.job.value},
            {"team", task.spec.team.value},
            {"state", stateName(task.state)},
            {"shard", shard.value},
            {"host", task.host.value},
            {"incarnation", task.incarnation},
            {"evictions", task.evictions},
            {"failures", task.failures},
            {"detail", task.detail}};
}

/// Returns the part of the path after @p prefix, up to the next slash.
std::string pathSegmentAfter(const std::string &target, const std::string &prefix)
{
    const std::string rest = pathOf(target).substr(prefix.size());
    return percentDecode(rest.substr(0, rest.find('/')));
}

/// Returns whether @p value matches @p filter. An empty filter matches everything.
bool matches(std::string_view value, std::string_view filter)
{
    return filter.empty() || value == filter;
}

bool isLocalOnly(const HttpRequest &request)
{
    return queryValue(request.target, "local") == "1";
}

std::string withLocalFlag(const std::string &target)
{
    return target + (target.find('?') == std::string::npos ? "?" : "&") + "local=1";
}

json parseJsonOr(const std::string &text, json fallback)
{
    json document = json::parse(text, nullptr, false);
    return document.is_discarded() ? std::move(fallback) : document;
}

/// Returns the team that the request's token belongs to, or an empty id.
TeamId teamOf(const HttpRequest &request, const DaemonSettings &settings)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.headers.find("authorization");
    if (header == request.headers.end() || !header->second.starts_with(scheme)) {
        return {};
    }
    const auto token = settings.tokens.find(header->second.substr(scheme.size()));
    return token == settings.tokens.end() ? TeamId{} : token->second;
}

} // namespace

AdminService::AdminService(DaemonContext &context, PlatformWatch &watch, MemberService &members,
                           std::vector<std::unique_ptr<ShardRunner>> &shards, AdminSources sources)
    : m_context(context)
    , m_watch(watch)
    , m_members(members)
    , m_shards(shards)
    , m_sources(std::move(sources))
{
}

void AdminService::addRoutes()
{
    const auto bind =
        [this](void (AdminService::*method)(const HttpRequest &, const HttpResponder &)) {
            return [this, method](const HttpRequest &request, const HttpResponder &respond) {
                (this->*method)(request, respond);
            };
        };
    addRoute("GET", "/v1/status", bind(&AdminService::showStatus));
    addRoute("GET", "/v1/domains/", bind(&AdminService::showDomain));
    addOperatorRoute("POST", "/v1/domains/", bind(&AdminService::changeDomain));
    addOperatorRoute("POST", "/v1/hosts/", bind(&AdminService::changeHost));
    addRoute("GET", "/v1/tasks", bind(&AdminService::listTasks));
    addRoute("GET", "/v1/tasks/", bind(&AdminService::showTask));
    addRoute("GET", "/v1/tasks-late", bind(&AdminService::listLateTasks));
    addOperatorRoute("POST", "/v1/tasks/", bind(&AdminService::cancelTask));
}

void AdminService::addRoute(const std::string &method, const std::string &prefix,
                            ControlHandler handler)
{
    m_context.router.add(
        {method, prefix,
         [this, handler = std::move(handler)](HttpRequest request, HttpResponder respond) {
             m_context.control.post([handler, request = std::move(request),
                                     respond = std::move(respond)] { handler(request, respond); });
         }});
}

void AdminService::addOperatorRoute(const std::string &method, const std::string &prefix,
                                    ControlHandler handler)
{
    addRoute(
        method, prefix,
        [this, handler = std::move(handler)](const HttpRequest &request,
                                             const HttpResponder &respond) {
            const TeamId team = teamOf(request, m_context.settings);
            if (team.value != operatorTeam) {
                logEvent(EventId::AdminDenied, {{"target", request.target}, {"team", team.value}});
                respond(errorResponse({ResultCode::PermissionDenied,
                                       "the request does not carry an operator's token",
                                       request.target}));
                return;
            }
            handler(request, respond);
        });
}

void AdminService::queryMembers(HttpRequest request, std::function<void(MemberAnswers)> done)
{
    struct PendingQuery
    {
        MemberAnswers answers;
        std::size_t remaining = 0;
        std::function<void(MemberAnswers)> done;
    };
    const std::vector<MemberInfo> members = m_members.live();
    auto query = std::make_shared<PendingQuery>();
    query->remaining = members.size();
    query->done = std::move(done);
    request.target = withLocalFlag(request.target);
    for (const MemberInfo &member : members) {
        m_context.controlClient.send(member.http, request, {.timeout = memberQueryTimeout},
                                     [query, daemon = member.daemon](HttpOutcome outcome) {
                                         query->answers.emplace_back(daemon,
                                                                     std::move(outcome.response));
                                         if (--query->remaining == 0) {
                                             query->done(std::move(query->answers));
                                         }
                                     });
    }
}

void AdminService::showStatus(const HttpRequest &, const HttpResponder &respond)
{
    const PlatformView &view = m_watch.view();
    json shards = json::array();
    for (const auto &runner : m_shards) {
        json item{{"shard", runner->shard().value}, {"held", runner->holder() != nullptr}};
        if (const auto owner = view.owners.find(runner->shard());
            owner != view.owners.end() && owner->second.owner) {
            item["holder"] = owner->second.owner->holder.value;
            item["epoch"] = owner->second.owner->epoch;
        }
        if (const Holder *const holder = runner->holder()) {
            std::map<std::string, int> counts;
            for (const auto &[id, task] : holder->state.tasks) {
                ++counts[std::string(stateName(task.state))];
            }
            item["tasks"] = counts;
            item["epoch"] = holder->epoch;
            item["hosts"] = holder->state.hosts.size();
        }
        shards.push_back(std::move(item));
    }
    json domains = json::object();
    for (const auto &[domain, domainView] : view.domains) {
        domains[domain.value] = {{"state", domainView.row.in ? "in" : "out"},
                                 {"version", domainView.version}};
    }
    json memberNames = json::array();
    for (const MemberInfo &member : m_members.live()) {
        memberNames.push_back(member.daemon.value);
    }
    respond(jsonResponse(json{
        {"daemon", m_context.settings.daemon.value},
        {"failure_domain", m_context.settings.failureDomain.value},
        {"members", memberNames.size()},
        {"member_names", memberNames},
        {"settings_version", m_sources.settingsVersion()},
        {"platform_reachable", view.reachable},
        {"requests_in_progress", m_sources.requestsInProgress()},
        {"domains", domains},
        {"shards", shards}}.dump()));
}

void AdminService::showDomain(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string name = pathSegmentAfter(request.target, "/v1/domains/");
    const auto domain = m_watch.view().domains.find({name});
    if (domain == m_watch.view().domains.end()) {
        respond(errorResponse(
            {ResultCode::UnknownFailureDomain, "no failure domain with this name exists", name}));
        return;
    }
    const DomainView ownView = domain->second;
    queryMembers({.target = "/v1/status"}, [name, ownView, respond](const MemberAnswers &answers) {
        const std::string state = ownView.row.in ? "in" : "out";
        json unconfirmed = json::array();
        json tasksLeft;
        std::size_t requests = 0;
        for (const auto &[daemon, answer] : answers) {
            const json body = answer ? parseJsonOr(answer->body, json::object()) : json::object();
            const json memberView =
                body.value("domains", json::object()).value(name, json::object());
            if (memberView.value("state", "") != state
                || memberView.value("version", std::uint64_t{0}) < ownView.version) {
                unconfirmed.push_back(
                    {{"daemon", daemon.value}, {"reachable", answer.has_value()}});
            }
            if (body.value("failure_domain", "") == name) {
                requests += body.value("requests_in_progress", std::size_t{0});
            }
            for (const json &shard : body.value("shards", json::array())) {
                if (shard.value("shard", "") == name && shard.value("held", false)) {
                    tasksLeft = shard.value("tasks", json::object()).value("placed", 0);
                }
            }
        }
        if (tasksLeft.is_null()) {
            respond(errorResponse(
                {ResultCode::NotHolder, "no reachable daemon holds the shard", name}));
            return;
        }
        respond(jsonResponse(json{{"failure_domain", name},
                                  {"state", state},
                                  {"version", ownView.version},
                                  {"reason", ownView.row.reason},
                                  {"changed_by", ownView.row.changedBy},
                                  {"tasks_left", tasksLeft},
                                  {"requests_in_progress", requests},
                                  {"daemons", answers.size()},
                                  {"daemons_confirmed", answers.size() - unconfirmed.size()},
                                  {"unconfirmed", unconfirmed}}
                                 .dump()));
    });
}

void AdminService::changeDomain(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string name = pathSegmentAfter(request.target, "/v1/domains/");
    const auto domain = m_watch.view().domains.find({name});
    if (domain == m_watch.view().domains.end()) {
        respond(errorResponse(
            {ResultCode::UnknownFailureDomain, "no failure domain with this name exists", name}));
        return;
    }
    const json body = parseJsonOr(request.body, json::object());
    const std::string state = body.is_object() ? body.value("state", "") : "";
    if (state != "in" && state != "out") {
        respond(errorResponse(
            {ResultCode::MalformedRequest, "state must be \"in\" or \"out\"", "state"}));
        return;
    }
    const DomainRow row{.in = state == "in",
                        .reason = body.value("reason", ""),
                        .changedBy = std::string(operatorTeam)};
    commitRow(domainKey({name}), encode(row), body.value("if_version", domain->second.version),
              respond);
}

void AdminService::changeHost(const HttpRequest &request, const HttpResponder &respond)
{
    const HostId host{pathSegmentAfter(request.target, "/v1/hosts/")};
    const json body = parseJsonOr(request.body, json::object());
    const std::string action = body.is_object() ? body.value("action", "") : "";
    if (action != "drain" && action != "undrain" && action != "confirm_off") {
        respond(errorResponse({ResultCode::MalformedRequest,
                               "action must be drain, undrain or confirm_off", "action"}));
        return;
    }
    m_context.platform.read({.keys = {hostKey(host)}}, [this, host, action, respond](
                                                           const Result<std::vector<Row>> &rows) {
        if (!rows) {
            respond(errorResponse(rows.error()));
            return;
        }
        HostRow row;
        std::uint64_t version = 0;
        if (!rows->empty()) {
            row = decodeHostRow(rows->front().value).value_or(HostRow{});
            version = rows->front().version;
        }
        row.drained = action == "undrain" ? false : row.drained || action == "drain";
        // Undraining a host also clears the confirmation that it is powered off.
        row.confirmedOff = action == "confirm_off" || (row.confirmedOff && action != "undrain");
        commitRow(hostKey(host), encode(row), version, respond);
    });
}

void AdminService::commitRow(const std::string &key, const std::string &value,
                             std::uint64_t version, const HttpResponder &respond)
{
    m_context.platform.commit(
        {.checks = {{key, version}}, .puts = {{key, value}}},
        [this, key, respond](const Result<CommitVersions> &result) {
            m_watch.readRows();
            if (result) {
                respond(jsonResponse(json{{"version", result->at(key)}}.dump()));
                return;
            }
            Error error = result.error();
            if (error.code == ResultCode::CheckFailed) {
                error = {ResultCode::VersionConflict,
                         "the row was changed by another request in the meantime", key};
            }
            respond(errorResponse(error));
        });
}

void AdminService::listTasks(const HttpRequest &request, const HttpResponder &respond)
{
    if (!isLocalOnly(request)) {
        mergeTaskLists(request, respond);
        return;
    }
    const std::string team = queryValue(request.target, "team");
    const std::string state = queryValue(request.target, "state");
    json tasks = json::array();
    for (const auto &runner : m_shards) {
        if (const Holder *const holder = runner->holder()) {
            for (const auto &[id, task] : holder->state.tasks) {
                if (matches(task.spec.team.value, team) && matches(stateName(task.state), state)) {
                    tasks.push_back(toJson(task, runner->shard()));
                }
            }
        }
    }
    respond(jsonResponse(json{{"tasks", tasks}}.dump()));
}

void AdminService::listLateTasks(const HttpRequest &request, const HttpResponder &respond)
{
    if (!isLocalOnly(request)) {
        mergeTaskLists(request, respond);
        return;
    }
    json tasks = json::array();
    for (const auto &runner : m_shards) {
        if (const Holder *const holder = runner->holder()) {
            for (const TaskId &id : lateTasks(*holder, std::chrono::steady_clock::now())) {
                tasks.push_back(toJson(holder->state.tasks.at(id), runner->shard()));
            }
        }
    }
    respond(jsonResponse(json{{"tasks", tasks}}.dump()));
}

void AdminService::mergeTaskLists(const HttpRequest &request, const HttpResponder &respond)
{
    queryMembers({.target = request.target}, [respond](const MemberAnswers &answers) {
        json tasks = json::array();
        json unreachable = json::array();
        for (const auto &[daemon, answer] : answers) {
            if (!answer) {
                unreachable.push_back(daemon.value);
                continue;
            }
            // Named, because a range-based for loop does not extend the lifetime of the temporary
            // document.
            json body = parseJsonOr(answer->body, json::object());
            for (json &task : body["tasks"]) {
                tasks.push_back(std::move(task));
            }
        }
        respond(jsonResponse(json{{"tasks", tasks}, {"unreachable", unreachable}}.dump()));
    });
}

void AdminService::showTask(const HttpRequest &request, const HttpResponder &respond)
{
    const TaskId id{pathSegmentAfter(request.target, "/v1/tasks/")};
    for (const auto &runner : m_shards) {
        const Holder *const holder = runner->holder();
        if (holder == nullptr) {
            continue;
        }
        const auto task = holder->state.tasks.find(id);
        if (task != holder->state.tasks.end() && task->second.state != TaskState::Moved) {
            json body = toJson(task->second, runner->shard());
            body["explanation"] = explainTask(*holder, id, std::chrono::steady_clock::now());
            respond(jsonResponse(body.dump()));
            return;
        }
    }
    forwardToMembers(request, respond);
}

void AdminService::cancelTask(const HttpRequest &request, const HttpResponder &respond)
{
    const TaskId id{pathSegmentAfter(request.target, "/v1/tasks/")};
    for (const auto &runner : m_shards) {
        if (runner->holder() == nullptr || !runner->holder()->state.tasks.contains(id)) {
            continue;
        }
        const auto cancelled = runner->cancel(id);
        respond(cancelled ? jsonResponse(json{{"task", id.value}, {"cancel", "requested"}}.dump())
                          : errorResponse(cancelled.error()));
        return;
    }
    forwardToMembers(request, respond);
}

void AdminService::forwardToMembers(const HttpRequest &request, const HttpResponder &respond)
{
    const Error notFound{ResultCode::TaskNotFound, "no reachable daemon has a task with this id",
                         pathOf(request.target)};
    if (isLocalOnly(request)) {
        respond(errorResponse(notFound));
        return;
    }
    HttpRequest forwarded{.method = request.method, .target = request.target};
    if (const auto it = request.headers.find("authorization"); it != request.headers.end()) {
        forwarded.headers["authorization"] = it->second;
    }
    queryMembers(std::move(forwarded), [notFound, respond](const MemberAnswers &answers) {
        constexpr unsigned statusNotFound = 404;
        for (const auto &[daemon, answer] : answers) {
            if (answer && answer->status != statusNotFound) {
                respond({answer->status, {{"content-type", "application/json"}}, answer->body});
                return;
            }
        }
        respond(errorResponse(notFound));
    });
}

} // namespace acaciadeal
