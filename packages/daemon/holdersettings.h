#ifndef ACACIADEAL_DAEMON_HOLDERSETTINGS_H
#define ACACIADEAL_DAEMON_HOLDERSETTINGS_H

#include "scheduling/holder.h"
#include "settings/settingstree.h"

namespace acaciadeal {

/// Copies the settings in force that apply to a shard's holder into @p options: leases, drain and
/// refill rates, worker limits and team quotas. Thread-safe.
void applyHolderSettings(const SettingsTree &tree, HolderOptions &options);

} // namespace acaciadeal

#endif
