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
    /// The line is a valid rule without any change.
    Unchanged,
    /// The line is a valid rule after the changes listed in `changes`.
    Changed,
    /// The line cannot be converted to a rule; `error` has the reason.
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

/// Converts the rule list of the system that acaciadeal replaces: one JSON object per line, with
/// the old names of fields, comparisons, severities and metrics (docs/alerts.md). The result has
/// exactly one entry per line of @p text, in order. Thread-safe.
std::vector<ImportedLine> importAlertRules(const std::string &text);

/// Returns the name of @p outcome in the output of acaciadealctl; it differs from the enumerator,
/// for example "in force" for Unchanged. Thread-safe.
std::string_view importOutcomeName(ImportOutcome outcome);

/// Old name of a field, comparison or severity, and the name that replaces it in a rule.
struct OldName
{
    std::string_view oldName;
    std::string_view newName;
};

/// Return the tables of old names in the order of docs/alerts.md. Thread-safe.
std::vector<OldName> oldFieldNames();
std::vector<OldName> oldComparisons();
std::vector<OldName> oldSeverities();

} // namespace acaciadeal

#endif
