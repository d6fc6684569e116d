#ifndef ACACIADEAL_DAEMON_SETTINGSSERVICE_H
#define ACACIADEAL_DAEMON_SETTINGSSERVICE_H

#include "daemon/context.h"
#include "settings/settingstree.h"

#include <functional>
#include <memory>

namespace acaciadeal {

struct SettingsServiceOptions
{
    Duration pollPeriod = std::chrono::seconds(1);
    /// Delay before a transaction with an unknown outcome is sent again.
    Duration resendDelay = milliseconds(200);
    /// Time after which a writer gets a response even if the outcome is not known.
    Duration answerTimeout = std::chrono::seconds(10);
    /// Sends new entries to all peers. Called on the control thread.
    std::function<void(SettingsEntries)> pushToPeers;
};

using SettingsChangeCallback = std::function<void(std::shared_ptr<const SettingsTree>)>;

/// Keeps the settings tree of a daemon up to date and serves the settings routes. The version of
/// the tree never decreases, whether entries come from the platform, from peers or from writes of
/// this daemon.
class SettingsService
{
public:
    /// Adds the routes and starts polling the platform. Preconditions: @p context outlives the
    /// threads of the control loop; the HTTP server has not started.
    SettingsService(DaemonContext &context, SettingsServiceOptions options);
    ~SettingsService();
    SettingsService(const SettingsService &) = delete;
    SettingsService &operator=(const SettingsService &) = delete;

    /// Applies entries received from a peer; entries not newer than the tree are ignored. Errors:
    /// MissingEntry if entries between the tree and these are missing, which the caller should then
    /// fetch from the peer; errors of applying an entry or decoding a snapshot. Control thread
    /// only.
    Result<void> onPeerEntries(const SettingsEntries &entries);

    /// Returns the entries after @p afterVersion, at most about 512 KB; the peer repeats the fetch
    /// until nothing is returned. If some of them are no longer in memory, returns one entry with
    /// an empty path that holds the whole tree, or nothing if the tree does not fit into a peer
    /// frame. Control thread only.
    SettingsEntries onSettingsFetch(std::uint64_t afterVersion) const;

    /// Returns the tree in force. Thread-safe.
    std::shared_ptr<const SettingsTree> current() const;
    /// Returns the version in force. Thread-safe.
    std::uint64_t version() const;

    /// Registers @p callback. It is called on the control thread, once with the tree in force and
    /// then after each change to a newer version. Thread-safe.
    void onChange(SettingsChangeCallback callback);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
