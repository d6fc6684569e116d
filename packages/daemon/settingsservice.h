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
    /// Time after which a transaction with an unknown outcome is sent again.
    Duration resendDelay = milliseconds(200);
    /// Time after which a writer is answered even if the outcome is not known.
    Duration answerTimeout = std::chrono::seconds(10);
    /// Sends new entries to all peers. Called on the control thread.
    std::function<void(SettingsEntries)> pushToPeers;
};

using SettingsChangeCallback = std::function<void(std::shared_ptr<const SettingsTree>)>;

/// Keeps the settings tree of a daemon up to date and serves its HTTP routes. The tree only moves
/// forward, whether entries come from the platform, from peers or from writes of this daemon.
class SettingsService
{
public:
    /// Adds the routes and begins to poll the platform. Preconditions: @p context outlives the
    /// control loop's threads; the HTTP server has not started.
    SettingsService(DaemonContext &context, SettingsServiceOptions options);
    ~SettingsService();
    SettingsService(const SettingsService &) = delete;
    SettingsService &operator=(const SettingsService &) = delete;

    /// Takes in entries from a peer; older ones are ignored. Errors: MissingEntry if entries before
    /// them are missing, which should then be fetched from the peer. Control thread only.
    Result<void> onPeerEntries(const SettingsEntries &entries);

    /// Returns entries after @p afterVersion, at most about 512 KB; the peer asks again until
    /// nothing is returned. If they are no longer remembered, the answer is one entry with an empty
    /// path that carries the whole tree, or nothing if the tree does not fit into a frame.
    /// Control thread only.
    SettingsEntries onSettingsFetch(std::uint64_t afterVersion) const;

    /// Returns the tree in force. Thread-safe.
    std::shared_ptr<const SettingsTree> current() const;
    /// Returns the version in force. Thread-safe.
    std::uint64_t version() const;

    /// Calls @p callback on the control thread after each move to a newer version, and once soon
    /// with the tree in force. Thread-safe.
    void onChange(SettingsChangeCallback callback);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
