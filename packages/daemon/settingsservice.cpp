#include "daemon/settingsservice.h"

#include "alerts/alertrule.h"
#include "logging/log.h"
#include "settings/jsontext.h"
#include "settings/schema.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr char headKey[] = "settings/head";
constexpr char snapshotKey[] = "settings/snapshot";
constexpr char logPrefix[] = "settings/log/";
constexpr char settingsPath[] = "/v1/settings";
// 128 rows of at most 16 KB stay below the HTTP client's limit of 8 MB, even in base64.
constexpr std::size_t rowsPerRead = 128;
// Limits of the recent entries that are kept in memory for peers and for the history.
constexpr std::size_t maxRecentEntries = 1024;
constexpr std::size_t maxRecentBytes = 4 * 1024 * 1024;
// Both stay below the limit of 1 MB for a peer frame.
constexpr std::size_t maxFetchBytes = 512 * 1024;
constexpr std::size_t maxPeerSnapshotBytes = 900 * 1024;
constexpr std::size_t maxWaitingWrites = 256;
// Each lost race means that another writer succeeded. More than this in a row indicate that the
// rows contradict each other.
constexpr int maxLostRaces = 50;

/// Returns the approximate encoded size of @p entry in bytes.
std::size_t encodedSizeEstimate(const SettingsEntry &entry)
{
    return entry.path.size() + entry.value.size() + entry.requestId.value.size() + 64;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string headerOf(const HttpRequest &request, const std::string &name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

json parseValue(const std::string &text)
{
    return text.empty() ? json() : json::parse(text, nullptr, false);
}

json errorJson(const Error &error)
{
    return {{"code", static_cast<int>(error.code)},
            {"name", resultCodeName(error.code)},
            {"message", error.message},
            {"where", error.where}};
}

/// Performs the checks that the schema leaves to other packages: alert rules have to parse, and
/// their name has to match the path. Errors: those of parseAlertRule(), MalformedRule.
Result<void> checkSemantics(const std::string &path, const std::string &value)
{
    const SettingSchema *schema = findSettingSchema(path);
    if (schema == nullptr || schema->type != SettingType::AlertRule || value.empty()) {
        return {};
    }
    const auto rule = parseAlertRule(value);
    if (!rule) {
        return tl::unexpected<Error>(rule.error());
    }
    if (rule->name != path.substr(path.rfind('/') + 1)) {
        return failure(ResultCode::MalformedRule,
                       "the name of the rule differs from the last segment of the path", path);
    }
    return {};
}

Result<PreparedWrite> prepareCheckedWrite(const SettingsTree &tree, const SettingsWrite &write)
{
    auto prepared = prepareWrite(tree, write);
    if (prepared) {
        if (auto checked = checkSemantics(prepared->entry.path, prepared->entry.value); !checked) {
            return tl::unexpected<Error>(checked.error());
        }
    }
    return prepared;
}

/// Returns whether a write that failed with @p code could succeed on a newer tree.
bool dependsOnVersion(ResultCode code)
{
    return code == ResultCode::VersionConflict || code == ResultCode::IncompatibleSettings;
}

Transaction transactionOf(const SettingsEntry &entry, std::uint64_t headRowVersion)
{
    const std::string key = settingsLogKey(entry.version);
    return {.checks = {{headKey, headRowVersion}, {key, 0}},
            .puts = {{headKey, std::to_string(entry.version)}, {key, encodeEntry(entry)}}};
}

Result<SettingsTree> decodePeerSnapshot(const SettingsEntry &entry)
{
    auto tree = decodeSnapshot(entry.value);
    if (tree && tree->version != entry.version) {
        return failure(ResultCode::CorruptSnapshot,
                       "the version inside the snapshot differs from that of its entry", "peer");
    }
    return tree;
}

/// Settings version in a row, and the version of that row for a conditional write.
struct SettingsVersionRow
{
    std::uint64_t settingsVersion = 0;
    std::uint64_t rowVersion = 0;
};

/// A write in progress or waiting for its turn. Used by the control thread only.
struct PendingWrite
{
    SettingsWrite write;
    HttpResponder respond;
    SettingsEntry entry;
    Transaction transaction;
    bool answered = false;
    /// Whether a commit was sent that may have taken effect or may still do so.
    bool sent = false;
    /// Whether a commit returned an unknown outcome that has not been resolved yet.
    bool outcomeUnknown = false;
    /// Number of failed checks because of other writers.
    int lostRaces = 0;
};

} // namespace

struct SettingsService::Impl : std::enable_shared_from_this<Impl>
{
    Impl(DaemonContext &daemonContext, SettingsServiceOptions serviceOptions)
        : context(daemonContext)
        , options(std::move(serviceOptions))
        , publishedTree(std::make_shared<SettingsTree>())
    {
    }

    using RefreshCallback = std::function<void(const Result<void> &)>;

    // Reading the rows of the platform.

    /// Reads the head row and the log rows newer than the tree. Calls @p done after a read that
    /// started after this call.
    void refresh(RefreshCallback done)
    {
        queuedRefreshes.push_back(std::move(done));
        if (!readInProgress) {
            startRead();
        }
    }

    void startRead()
    {
        readInProgress = true;
        activeRefreshes = std::exchange(queuedRefreshes, {});
        readHead();
    }

    void finishRead(const Result<void> &result)
    {
        if (result) {
            lastReadAt = std::chrono::steady_clock::now();
            invalidRow.clear();
        } else if (result.error().code != ResultCode::PlatformUnavailable
                   && std::exchange(invalidRow, result.error().where) != result.error().where) {
            // Log an invalid row once only, although every poll reads it again.
            logEvent(EventId::LogEntryRefused,
                     {{"key", result.error().where},
                      {"name", std::string(resultCodeName(result.error().code))},
                      {"reason", result.error().message}});
        }
        readInProgress = false;
        for (const RefreshCallback &done : std::exchange(activeRefreshes, {})) {
            done(result);
        }
        if (!readInProgress && !queuedRefreshes.empty()) {
            startRead();
        }
    }

    void readHead()
    {
        context.platform.read({.keys = {headKey, snapshotKey}},
                              [self = shared_from_this(), versionAtRequest = tree.version](
                                  const Result<std::vector<Row>> &rows) {
                                  if (!rows) {
                                      self->finishRead(tl::unexpected<Error>(rows.error()));
                                      return;
                                  }
                                  self->onHead(versionAtRequest, *rows);
                              });
    }

    /// @p versionAtRequest is the version of the tree when the head was requested. A head is stale
    /// only if it is older than that: peers may have advanced the tree before the answer arrived.
    void onHead(std::uint64_t versionAtRequest, const std::vector<Row> &rows)
    {
        SettingsVersionRow newHead;
        SettingsVersionRow newSnapshot;
        for (const Row &row : rows) {
            const auto number = parseNumber(row.value);
            if (!number) {
                finishRead(failure(ResultCode::PlatformProtocol,
                                   "the row does not hold a settings version", row.key));
                return;
            }
            (row.key == headKey ? newHead : newSnapshot) = {*number, row.version};
        }
        if (newHead.settingsVersion < versionAtRequest) {
            logEvent(EventId::SettingsStale, {{"source", "platform"},
                                              {"received", std::to_string(newHead.settingsVersion)},
                                              {"in_force", std::to_string(versionAtRequest)}});
            finishRead(failure(ResultCode::PlatformUnavailable,
                               "the platform returned an older settings version", headKey));
            return;
        }
        snapshot = newSnapshot;
        if (newHead.settingsVersion > tree.version + versionsPerSnapshot
            && newSnapshot.settingsVersion > tree.version) {
            readSnapshot(newHead);
            return;
        }
        readRows(newHead);
    }

    void readSnapshot(const SettingsVersionRow &newHead)
    {
        context.platform.getObject(
            snapshotName(snapshot.settingsVersion),
            [self = shared_from_this(), newHead](const Result<std::string> &content) {
                // The log rows are complete, so without the snapshot only more rows are read.
                if (content) {
                    auto decoded = decodeSnapshot(*content);
                    if (decoded && decoded->version > self->tree.version) {
                        self->replaceTree(std::move(*decoded));
                    }
                }
                self->readRows(newHead);
            });
    }

    void readRows(const SettingsVersionRow &newHead)
    {
        if (tree.version >= newHead.settingsVersion) {
            // Peers may have advanced the tree past this head in the meantime. The version of the
            // current head row is then unknown.
            head = tree.version == newHead.settingsVersion ? std::optional(newHead) : std::nullopt;
            finishRead({});
            return;
        }
        context.platform.read(
            {.prefix = logPrefix, .after = settingsLogKey(tree.version), .limit = rowsPerRead},
            [self = shared_from_this(), newHead,
             after = tree.version](const Result<std::vector<Row>> &rows) {
                if (!rows) {
                    self->finishRead(tl::unexpected<Error>(rows.error()));
                    return;
                }
                self->onRows(newHead, after, *rows);
            });
    }

    /// @p after is the version of the tree when the rows were requested.
    void onRows(const SettingsVersionRow &newHead, std::uint64_t after,
                const std::vector<Row> &rows)
    {
        SettingsEntries newEntries;
        for (const Row &row : rows) {
            const auto entry = decodeEntry(row.value);
            if (!entry || settingsLogKey(entry->version) != row.key) {
                publishEntries(std::move(newEntries));
                finishRead(failure(ResultCode::TornEntry,
                                   "the settings row is not valid or does not match its key",
                                   row.key));
                return;
            }
            if (entry->version > newHead.settingsVersion) {
                break;
            }
            const auto applied = apply(*entry);
            if (!applied) {
                publishEntries(std::move(newEntries));
                finishRead(tl::unexpected<Error>(applied.error()));
                return;
            }
            if (*applied == ApplyOutcome::Applied) {
                newEntries.entries.push_back(*entry);
            }
        }
        publishEntries(std::move(newEntries));
        // Even without rows the tree may have advanced, if a peer sent entries during the read.
        if (tree.version == after) {
            finishRead(failure(ResultCode::MissingEntry,
                               "a settings row up to the head version is missing",
                               settingsLogKey(tree.version + 1)));
            return;
        }
        readRows(newHead);
    }

    // Applying newer entries.

    Result<ApplyOutcome> apply(const SettingsEntry &entry)
    {
        auto applied = applyEntry(tree, entry);
        if (applied && *applied == ApplyOutcome::Applied) {
            recentEntries.push_back(entry);
            recentBytes += encodedSizeEstimate(entry);
            while (recentEntries.size() > maxRecentEntries || recentBytes > maxRecentBytes) {
                recentBytes -= encodedSizeEstimate(recentEntries.front());
                recentEntries.pop_front();
            }
            logEvent(EventId::SettingsApplied, {{"version", std::to_string(entry.version)},
                                                {"path", entry.path},
                                                {"team", entry.team.value},
                                                {"request", entry.requestId.value}});
        }
        return applied;
    }

    /// Replaces the tree. Precondition: @p newer has a higher version than the tree in force.
    void replaceTree(SettingsTree newer)
    {
        tree = std::move(newer);
        recentEntries.clear();
        recentBytes = 0;
        logEvent(EventId::SettingsApplied,
                 {{"version", std::to_string(tree.version)}, {"source", "snapshot"}});
        publish();
    }

    /// Publishes the tree after @p newEntries were applied, and sends them to the peers. Does
    /// nothing if there are none.
    void publishEntries(SettingsEntries newEntries)
    {
        if (newEntries.entries.empty()) {
            return;
        }
        publish();
        if (options.pushToPeers) {
            options.pushToPeers(std::move(newEntries));
        }
    }

    void publish()
    {
        auto copy = std::make_shared<const SettingsTree>(tree);
        {
            const std::lock_guard lock(mutex);
            publishedTree = copy;
        }
        context.metrics.set("settings_version", {}, static_cast<double>(tree.version));
        for (const SettingsChangeCallback &callback : changeCallbacks) {
            callback(copy);
        }
    }

    Result<void> onPeerEntries(const SettingsEntries &entries)
    {
        bool changed = false;
        Result<void> result;
        for (const SettingsEntry &entry : entries.entries) {
            if (entry.path.empty()) {
                auto decoded = decodePeerSnapshot(entry);
                if (!decoded) {
                    result = tl::unexpected<Error>(decoded.error());
                    break;
                }
                if (decoded->version > tree.version) {
                    replaceTree(std::move(*decoded));
                }
                continue;
            }
            const auto applied = apply(entry);
            if (!applied) {
                result = tl::unexpected<Error>(applied.error());
                break;
            }
            if (*applied == ApplyOutcome::Applied) {
                changed = true;
            } else {
                warnIfConflicting(entry);
            }
        }
        if (changed) {
            publish();
        }
        return result;
    }

    /// Logs a warning if @p entry differs from the entry with the same version that was applied.
    /// Other old entries are normal, because daemons receive most entries several times.
    void warnIfConflicting(const SettingsEntry &entry)
    {
        const auto it = std::find_if(
            recentEntries.begin(), recentEntries.end(),
            [&entry](const SettingsEntry &own) { return own.version == entry.version; });
        if (it != recentEntries.end() && *it != entry) {
            logEvent(EventId::SettingsStale, {{"source", "peer"},
                                              {"received", std::to_string(entry.version)},
                                              {"in_force", std::to_string(tree.version)},
                                              {"path", entry.path}});
        }
    }

    SettingsEntries onSettingsFetch(std::uint64_t afterVersion) const
    {
        SettingsEntries answer;
        if (afterVersion >= tree.version) {
            return answer;
        }
        if (recentEntries.empty() || recentEntries.front().version > afterVersion + 1) {
            std::string text = encodeSnapshot(tree);
            if (text.size() <= maxPeerSnapshotBytes) {
                answer.entries.push_back({.version = tree.version, .value = std::move(text)});
            }
            return answer;
        }
        std::size_t size = 0;
        for (const SettingsEntry &entry : recentEntries) {
            if (entry.version > afterVersion && size < maxFetchBytes) {
                size += encodedSizeEstimate(entry);
                answer.entries.push_back(entry);
            }
        }
        return answer;
    }

    // Snapshots in the object store.

    static std::string snapshotName(std::uint64_t version)
    {
        return "settings-snapshot-" + std::to_string(version);
    }

    /// The daemon that writes a version divisible by 256 stores a snapshot of it. If that fails,
    /// any daemon stores a later one once the last snapshot is 512 versions old.
    void storeSnapshotIfDue(bool ownWrite)
    {
        const bool due = ownWrite && tree.version % versionsPerSnapshot == 0;
        const bool overdue = tree.version - std::min(tree.version, snapshot.settingsVersion)
                             >= 2 * versionsPerSnapshot;
        if (storingSnapshot || (!due && !overdue)) {
            return;
        }
        storingSnapshot = true;
        const std::uint64_t version = tree.version;
        context.platform.putObject(
            snapshotName(version), encodeSnapshot(tree),
            [self = shared_from_this(), version,
             rowVersion = snapshot.rowVersion](const Result<void> &stored) {
                if (!stored) {
                    self->storingSnapshot = false;
                    return;
                }
                // The result is ignored: with either outcome the row refers to an existing
                // snapshot. If another daemon stored a snapshot in the meantime, its row is kept.
                self->context.platform.commit(
                    {.checks = {{snapshotKey, rowVersion}},
                     .puts = {{snapshotKey, std::to_string(version)}}},
                    [self](const Result<CommitVersions> &) { self->storingSnapshot = false; });
            });
    }

    // Writing. Writes are executed one at a time, in order of arrival.

    void addWrite(SettingsWrite write, HttpResponder respond)
    {
        auto pending = std::make_shared<PendingWrite>();
        pending->write = std::move(write);
        pending->respond = std::move(respond);
        const auto prepared = prepareCheckedWrite(tree, pending->write);
        if (!prepared && !dependsOnVersion(prepared.error().code)) {
            deny(*pending, prepared.error());
            return;
        }
        if (prepared && prepared->alreadyAccepted) {
            accept(*pending, prepared->entry);
            return;
        }
        if (writes.size() >= maxWaitingWrites) {
            deny(*pending, {ResultCode::Overloaded, "too many settings changes are queued", ""});
            return;
        }
        writes.push_back(pending);
        context.control.postAfter(options.answerTimeout, [self = shared_from_this(), pending] {
            self->onAnswerTimeout(*pending);
        });
        if (writes.size() == 1) {
            attemptWrite(pending);
        }
    }

    void onAnswerTimeout(PendingWrite &pending)
    {
        if (pending.answered) {
            return;
        }
        if (pending.sent) {
            // Not a denial, because the change may be in force.
            answer(pending,
                   errorResponse({ResultCode::OutcomeUnknown,
                                  "the outcome of the change is not known yet; repeat the request "
                                  "under the same id",
                                  pending.write.path}));
        } else {
            deny(pending, {ResultCode::PlatformUnavailable,
                           "an earlier change or the platform did not complete in time; this "
                           "change was not made",
                           pending.write.path});
        }
    }

    void attemptWrite(const std::shared_ptr<PendingWrite> &pending)
    {
        if (pending->answered && !pending->outcomeUnknown) {
            finishWrite(pending);
            return;
        }
        refresh([self = shared_from_this(), pending](const Result<void> &result) {
            self->onRefreshed(pending, result);
        });
    }

    void onRefreshed(const std::shared_ptr<PendingWrite> &pending, const Result<void> &result)
    {
        if (!result && pending->outcomeUnknown) {
            // Only the rows show whether an earlier commit took effect, so retry reading them.
            retryLater([pending](Impl &self) { self.attemptWrite(pending); });
            return;
        }
        if (!result) {
            deny(*pending,
                 {ResultCode::PlatformUnavailable, result.error().message, result.error().where});
            finishWrite(pending);
            return;
        }
        // A commit with an unknown outcome has been resolved by a failed check, and the tree now
        // contains every committed entry.
        pending->outcomeUnknown = false;
        pending->sent = false;
        const auto prepared = prepareCheckedWrite(tree, pending->write);
        if (!prepared) {
            deny(*pending, prepared.error());
            finishWrite(pending);
            return;
        }
        if (prepared->alreadyAccepted) {
            accept(*pending, prepared->entry);
            finishWrite(pending);
            return;
        }
        if (pending->answered) {
            finishWrite(pending);
            return;
        }
        if (!head) {
            attemptWrite(pending);
            return;
        }
        pending->entry = prepared->entry;
        pending->transaction = transactionOf(pending->entry, head->rowVersion);
        send(pending);
    }

    void send(const std::shared_ptr<PendingWrite> &pending)
    {
        pending->sent = true;
        context.platform.commit(pending->transaction, [self = shared_from_this(), pending](
                                                          const Result<CommitVersions> &versions) {
            self->onCommit(pending, versions);
        });
    }

    void onCommit(const std::shared_ptr<PendingWrite> &pending,
                  const Result<CommitVersions> &versions)
    {
        if (versions) {
            onCommitted(*pending, *versions);
            finishWrite(pending);
            return;
        }
        const ResultCode code = versions.error().code;
        if (code == ResultCode::CheckFailed) {
            if (!pending->outcomeUnknown && ++pending->lostRaces > maxLostRaces) {
                deny(*pending, {ResultCode::PlatformProtocol,
                                "the settings rows of the platform contradict each other",
                                versions.error().where});
                finishWrite(pending);
                return;
            }
            attemptWrite(pending);
            return;
        }
        if (code == ResultCode::PlatformUnavailable && !pending->outcomeUnknown) {
            deny(*pending, versions.error());
            finishWrite(pending);
            return;
        }
        if (!pending->outcomeUnknown) {
            logEvent(EventId::WriteOutcomeUnknown, {{"key", settingsLogKey(pending->entry.version)},
                                                    {"request", pending->write.requestId.value}});
        }
        pending->outcomeUnknown = true;
        retryLater([pending](Impl &self) { self.send(pending); });
    }

    void onCommitted(PendingWrite &pending, const CommitVersions &versions)
    {
        const auto applied = apply(pending.entry);
        if (applied && *applied == ApplyOutcome::Applied) {
            head.reset();
            if (const auto it = versions.find(headKey); it != versions.end()) {
                head = SettingsVersionRow{tree.version, it->second};
            }
            publishEntries({.entries = {pending.entry}});
            storeSnapshotIfDue(true);
        }
        accept(pending, pending.entry);
    }

    /// Removes @p pending from the queue of writes and starts the next one.
    void finishWrite(const std::shared_ptr<PendingWrite> &pending)
    {
        if (!writes.empty() && writes.front() == pending) {
            writes.pop_front();
        }
        if (!writes.empty()) {
            // Post the next write, so that a series of refused writes does not recurse.
            context.control.post(
                [self = shared_from_this(), next = writes.front()] { self->attemptWrite(next); });
        }
    }

    /// Runs @p operation after the resend delay.
    template<typename Operation>
    void retryLater(Operation operation)
    {
        context.control.postAfter(options.resendDelay,
                                  [self = shared_from_this(), operation] { operation(*self); });
    }

    static void answer(PendingWrite &pending, HttpResponse response)
    {
        if (!std::exchange(pending.answered, true)) {
            pending.respond(std::move(response));
        }
    }

    static void accept(PendingWrite &pending, const SettingsEntry &entry)
    {
        answer(pending, jsonResponse(json{{"path", entry.path},
                                          {"version", entry.version},
                                          {"path_version", entry.pathVersion}}
                                         .dump()));
    }

    static void deny(PendingWrite &pending, const Error &error)
    {
        if (!pending.answered) {
            logDenied(pending.write, error);
            answer(pending, errorResponse(error));
        }
    }

    static void logDenied(const SettingsWrite &write, const Error &error)
    {
        logEvent(EventId::SettingsDenied, {{"path", write.path},
                                           {"team", write.team.value},
                                           {"request", write.requestId.value},
                                           {"code", std::to_string(static_cast<int>(error.code))},
                                           {"name", std::string(resultCodeName(error.code))},
                                           {"reason", error.message}});
    }

    // Routes.

    void servePut(const HttpRequest &request, HttpResponder respond)
    {
        SettingsWrite write;
        write.path = pathOf(request.target).substr(sizeof settingsPath - 1);
        write.value = request.body;
        write.requestId = {headerOf(request, "x-request-id")};
        constexpr std::string_view scheme = "Bearer ";
        const std::string authorization = headerOf(request, "authorization");
        const auto token = authorization.starts_with(scheme)
                               ? context.settings.tokens.find(authorization.substr(scheme.size()))
                               : context.settings.tokens.end();
        std::optional<Error> error;
        if (token == context.settings.tokens.end()) {
            error = {ResultCode::PermissionDenied, "the request has no valid token", write.path};
        } else {
            write.team = token->second;
            const auto expected = parseNumber(headerOf(request, "if-version"));
            write.expectedPathVersion = expected.value_or(0);
            if (!expected) {
                error = {ResultCode::MalformedRequest,
                         "the header if-version must hold the path version", "if-version"};
            }
        }
        if (error) {
            logDenied(write, *error);
            respond(errorResponse(*error));
            return;
        }
        context.control.post([self = shared_from_this(), write = std::move(write),
                              respond = std::move(respond)] { self->addWrite(write, respond); });
    }

    HttpResponse serveGet(const std::string &target) const
    {
        const auto settings = current();
        const std::string path = pathOf(target).substr(sizeof settingsPath - 1);
        if (path.empty() || path == "/") {
            json values = json::object();
            for (const auto &[name, value] : settings->values) {
                values[name] = {{"value", parseValue(value.value)},
                                {"path_version", value.pathVersion},
                                {"version", value.version}};
            }
            return jsonResponse(
                json{{"version", settings->version}, {"settings", std::move(values)}}.dump());
        }
        const auto value = effectiveValue(*settings, path);
        if (!value) {
            return errorResponse(value.error());
        }
        const auto it = settings->values.find(path);
        const bool set = it != settings->values.end();
        return jsonResponse(json{{"path", path},
                                 {"value", parseValue(*value)},
                                 {"default", !set || it->second.value.empty()},
                                 {"path_version", set ? it->second.pathVersion : 0},
                                 {"version", set ? it->second.version : 0}}
                                .dump());
    }

    HttpResponse serveValidate(const std::string &body) const
    {
        const auto normalized = normalizeJson(body);
        if (!normalized) {
            return errorResponse(normalized.error());
        }
        const json values = json::parse(*normalized);
        if (!values.is_object()) {
            return errorResponse({ResultCode::WrongType,
                                  "expected a JSON object that maps paths to values", "body"});
        }
        json errors = json::array();
        SettingsTree changed = *current();
        for (const auto &[path, value] : values.items()) {
            auto checked = checkSetting(path, value.dump());
            if (checked) {
                if (auto semantics = checkSemantics(path, *checked); !semantics) {
                    checked = tl::unexpected<Error>(semantics.error());
                }
            }
            if (!checked) {
                errors.push_back(errorJson(checked.error()));
                errors.back()["path"] = path;
            } else {
                changed.values[path].value = *checked;
            }
        }
        if (auto combined = checkOrderConstraints(changed); !combined) {
            errors.push_back(errorJson(combined.error()));
            errors.back()["path"] = combined.error().where;
        }
        return jsonResponse(json{{"valid", errors.empty()}, {"errors", std::move(errors)}}.dump());
    }

    HttpResponse historyOf(const std::string &path) const
    {
        json changes = json::array();
        for (const SettingsEntry &entry : recentEntries) {
            if (path.empty() || entry.path == path) {
                changes.push_back({{"version", entry.version},
                                   {"path", entry.path},
                                   {"path_version", entry.pathVersion},
                                   {"value", parseValue(entry.value)},
                                   {"team", entry.team.value},
                                   {"request_id", entry.requestId.value}});
            }
        }
        const std::uint64_t completeAfter =
            recentEntries.empty() ? tree.version : recentEntries.front().version - 1;
        return jsonResponse(json{{"version", tree.version},
                                 {"complete_after", completeAfter},
                                 {"changes", std::move(changes)}}
                                .dump());
    }

    void addRoutes()
    {
        const auto self = weak_from_this();
        const auto route = [this, self](std::string method, std::string prefix, auto serve) {
            context.router.add({std::move(method), std::move(prefix),
                                [self, serve](const HttpRequest &request, HttpResponder respond) {
                                    if (const auto impl = self.lock()) {
                                        serve(*impl, request, std::move(respond));
                                    } else {
                                        respond(errorResponse({ResultCode::ShuttingDown,
                                                               "the daemon is shutting down", ""}));
                                    }
                                }});
        };
        route("GET", settingsPath, [](Impl &impl, const HttpRequest &request, auto respond) {
            respond(impl.serveGet(request.target));
        });
        route("PUT", "/v1/settings/", [](Impl &impl, const HttpRequest &request, auto respond) {
            impl.servePut(request, std::move(respond));
        });
        route("POST", "/v1/settings/validate",
              [](Impl &impl, const HttpRequest &request, auto respond) {
                  respond(impl.serveValidate(request.body));
              });
        route("GET", "/v1/settings-history",
              [](Impl &impl, const HttpRequest &request, auto respond) {
                  impl.context.control.post(
                      [self = impl.shared_from_this(), path = queryValue(request.target, "path"),
                       respond = std::move(respond)] { respond(self->historyOf(path)); });
              });
    }

    void poll()
    {
        // With a slow platform, do not queue another read with every poll.
        if (!readInProgress) {
            refresh([self = shared_from_this()](const Result<void> &result) {
                if (result) {
                    self->storeSnapshotIfDue(false);
                }
            });
        }
        const auto age = std::chrono::steady_clock::now() - lastReadAt;
        context.metrics.set("settings_age_seconds", {}, std::chrono::duration<double>(age).count());
    }

    std::shared_ptr<const SettingsTree> current() const
    {
        const std::lock_guard lock(mutex);
        return publishedTree;
    }

    DaemonContext &context;
    const SettingsServiceOptions options;

    // Control thread only.
    SettingsTree tree;
    /// Entries that were applied last, in order of version without gaps.
    std::deque<SettingsEntry> recentEntries;
    std::size_t recentBytes = 0;
    /// Head row, if it is known at the version of the tree.
    std::optional<SettingsVersionRow> head;
    SettingsVersionRow snapshot;
    bool storingSnapshot = false;
    /// Key of the invalid row at which the last read stopped; empty if there was none.
    std::string invalidRow;
    bool readInProgress = false;
    /// Callbacks that wait for the next read.
    std::vector<RefreshCallback> queuedRefreshes;
    /// Callbacks that wait for the read in progress.
    std::vector<RefreshCallback> activeRefreshes;
    /// Queued writes; the first one is in progress.
    std::deque<std::shared_ptr<PendingWrite>> writes;
    std::vector<SettingsChangeCallback> changeCallbacks;
    TimePoint lastReadAt = std::chrono::steady_clock::now();

    mutable std::mutex mutex;
    std::shared_ptr<const SettingsTree> publishedTree;
};

SettingsService::SettingsService(DaemonContext &context, SettingsServiceOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options)))
{
    m_impl->addRoutes();
    const auto poll = [weak = std::weak_ptr<Impl>(m_impl)] {
        if (const auto impl = weak.lock()) {
            impl->poll();
        }
    };
    context.control.post(poll);
    context.control.postEvery(m_impl->options.pollPeriod, poll);
}

SettingsService::~SettingsService() = default;

Result<void> SettingsService::onPeerEntries(const SettingsEntries &entries)
{
    return m_impl->onPeerEntries(entries);
}

SettingsEntries SettingsService::onSettingsFetch(std::uint64_t afterVersion) const
{
    return m_impl->onSettingsFetch(afterVersion);
}

std::shared_ptr<const SettingsTree> SettingsService::current() const
{
    return m_impl->current();
}

std::uint64_t SettingsService::version() const
{
    return m_impl->current()->version;
}

void SettingsService::onChange(SettingsChangeCallback callback)
{
    m_impl->context.control.post([impl = m_impl, callback = std::move(callback)] {
        callback(impl->current());
        impl->changeCallbacks.push_back(callback);
    });
}

} // namespace acaciadeal
