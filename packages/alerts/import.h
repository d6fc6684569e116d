#ifndef ACACIADEAL_ALERTS_IMPORT_H
#define ACACIADEAL_ALERTS_IMPORT_H

#include "alerts/alertrule.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciadeal {

enum class ImportOutcome : std::uint8_t {
    /// The line is a rule as it stands.
    Unchanged,
    /// The line became a rule after the changes that are listed.
    Changed,
    /// The line gives no rule; the reason is listed.
    Refused,
    /// The line is blank or a comment.
    BlankOrComment,
};

struct ImportedLine
{
    /// Counted from 1.
    std::size_t number = 0;
    ImportOutcome outcome = ImportOutcome::BlankOrComment;
    std::optional<AlertRule> rule;
    std::vector<std::string> changes;
    /// Set for refused lines.
    Error error;
};

/// Translates the rule list of the setup that acaciadeal replaces: one JSON object a line, with the
/// old names of fields, comparisons, severities and metrics (docs/alerts.md). The result has
/// exactly one entry per line of @p text, in order. Thread-safe.
std::vector<ImportedLine> importAlertRules(const std::string &text);

std::string_view importOutcomeName(ImportOutcome outcome);

/// Old name and its meaning in a rule.
struct OldName
{
    std::string_view oldName;
    std::string_view newName;
};

/// The alias tables in the order of docs/alerts.md. Thread-safe.
std::vector<OldName> oldFieldNames();
std::vector<OldName> oldComparisons();
std::vector<OldName> oldSeverities();

} // namespace acaciadeal

#endif
