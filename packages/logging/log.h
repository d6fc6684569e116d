#ifndef ACACIADEAL_LOGGING_LOG_H
#define ACACIADEAL_LOGGING_LOG_H

#include "base/event.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace acaciadeal {

struct LogOptions
{
    /// Name of the daemon, written on every line.
    std::string daemon;
    Severity minimumSeverity = Severity::Info;
};

struct LogField
{
    std::string_view name;
    std::string value;
};

/// Opens the log on standard output. Logging never blocks: lines are gathered for up to 100 ms, and
/// dropped and counted if the output is full or there are too many of them. Precondition: called
/// once, before any other function here and before other threads start.
void openLog(const LogOptions &options);

/// Writes one line: event number, event name, then the fields as name=value, quoted where a value
/// contains a space. Thread-safe. Does nothing before openLog().
void logEvent(EventId id, std::initializer_list<LogField> fields = {});

/// Writes the lines that were gathered, unless the output is full. Thread-safe. Called
/// periodically and before the process ends.
void flushLog();

} // namespace acaciadeal

#endif
