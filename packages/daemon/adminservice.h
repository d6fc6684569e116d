#ifndef ACACIADEAL_DAEMON_ADMINSERVICE_H
#define ACACIADEAL_DAEMON_ADMINSERVICE_H

#include "daemon/context.h"
#include "daemon/memberservice.h"
#include "daemon/platformwatch.h"
#include "daemon/shardrunner.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace acaciadeal {

/// Values shown in the status besides the state of shards and members.
struct AdminSources
{
    std::function<std::uint64_t()> settingsVersion;
    std::function<std::size_t()> requestsInProgress;
};

/// Serves /v1/domains, /v1/hosts, /v1/tasks, /v1/tasks-late and /v1/status. Requests that concern
/// several daemons are answered by querying all live members. Runs on the control thread.
class AdminService
{
public:
    AdminService(DaemonContext &context, PlatformWatch &watch, MemberService &members,
                 std::vector<std::unique_ptr<ShardRunner>> &shards, AdminSources sources);

    /// Precondition: the HTTP server has not started.
    void addRoutes();

private:
    using ControlHandler = std::function<void(const HttpRequest &, const HttpResponder &)>;
    /// Answer of each member, or an error if it could not be reached.
    using MemberAnswers = std::vector<std::pair<DaemonId, Result<HttpResponse>>>;

    void addRoute(const std::string &method, const std::string &prefix, ControlHandler handler);
    void addOperatorRoute(const std::string &method, const std::string &prefix,
                          ControlHandler handler);
    void queryMembers(HttpRequest request, std::function<void(MemberAnswers)> done);

    void showStatus(const HttpRequest &request, const HttpResponder &respond);
    void showDomain(const HttpRequest &request, const HttpResponder &respond);
    void changeDomain(const HttpRequest &request, const HttpResponder &respond);
    void changeHost(const HttpRequest &request, const HttpResponder &respond);
    void listTasks(const HttpRequest &request, const HttpResponder &respond);
    void listLateTasks(const HttpRequest &request, const HttpResponder &respond);
    void showTask(const HttpRequest &request, const HttpResponder &respond);
    void cancelTask(const HttpRequest &request, const HttpResponder &respond);
    void mergeTaskLists(const HttpRequest &request, const HttpResponder &respond);
    /// Sends the request to all live members and responds with the first answer other than 404.
    void forwardToMembers(const HttpRequest &request, const HttpResponder &respond);
    void commitRow(const std::string &key, const std::string &value, std::uint64_t version,
                   const HttpResponder &respond);

    DaemonContext &m_context;
    PlatformWatch &m_watch;
    MemberService &m_members;
    std::vector<std::unique_ptr<ShardRunner>> &m_shards;
    AdminSources m_sources;
};

} // namespace acaciadeal

#endif
