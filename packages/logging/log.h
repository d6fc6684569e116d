#ifndef ACACIADEAL_LOGGING_LOG_H
#define ACACIADEAL_LOGGING_LOG_H

#include "base/event.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace acaciadeal {

struct LogOptions
{
    /// Name of the daemon, included in every line.
    std::string daemon;
    Severity minimumSeverity = Severity::Info;
};

struct LogField
{
    std::string_view name;
    std::string value;
};

/// Opens the log on standard output. Logging never blocks: lines are buffered for up to 100 ms, and
/// dropped and counted if the output is full or the limit of lines per second is exceeded.
/// Precondition: called once, before any other function here and before other threads start.
void openLog(const LogOptions &options);

/// Writes one line: event number, event name, then the fields as name=value. A value that is empty
/// or contains a space, quote or newline is quoted. Thread-safe. Does nothing before openLog().
void logEvent(EventId id, std::initializer_list<LogField> fields = {});

/// Returns how often logEvent() was called with @p id in this process, whether or not the line was
/// written. Thread-safe.
std::uint64_t eventCount(EventId id);

/// Writes the buffered lines, unless the output is full. To be called periodically and before the
/// process ends. Thread-safe.
void flushLog();

} // namespace acaciadeal

#endif
