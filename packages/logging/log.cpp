#include "logging/log.h"

#include "base/time.h"

#include <atomic>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <map>
#include <memory>
#include <poll.h>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace acaciadeal {
namespace {

log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger &rootLogger()
{
    static log4cplus::Initializer initializer;
    static log4cplus::Logger logger = log4cplus::Logger::getRoot();
    return logger;
}

std::atomic<bool> isOpen = false;

/// Capacity of the line buffer. A pipe that polls as writable accepts this much without blocking.
constexpr std::size_t bufferBytes = 4096;
/// Lines buffered for longer than this are written with the next line or by flushLog().
constexpr Duration maxBufferTime = milliseconds(100);
/// Maximum number of lines per second; further ones are dropped and counted.
constexpr int maxLinesPerSecond = 2000;
/// Number of lines per second of each event that are exempt from maxLinesPerSecond.
constexpr int exemptLinesPerEvent = 10;

/// Appender that writes whole lines to standard output, and drops lines instead of blocking while
/// its reader is slow. The access mutex of log4cplus::Appender guards all members.
class NonBlockingAppender : public log4cplus::Appender
{
public:
    ~NonBlockingAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        writeBuffer();
    }

    void flush()
    {
        const log4cplus::thread::MutexGuard guard(access_mutex);
        writeBuffer();
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now - m_secondStart >= std::chrono::seconds(1)) {
            m_secondStart = now;
            m_linesInSecond = 0;
            m_linesOfEvent.clear();
            reportDropped();
        }
        // A message begins with the four-digit event number.
        const auto number = event.getMessage().substr(0, 4);
        const bool isExempt = ++m_linesOfEvent[number] <= exemptLinesPerEvent;
        if (++m_linesInSecond > maxLinesPerSecond && !isExempt) {
            ++m_dropped;
            return;
        }
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        addToBuffer(line.str(), now);
    }

private:
    void addToBuffer(const std::string &line, TimePoint now)
    {
        if (m_buffer.size() + line.size() > bufferBytes) {
            writeBuffer();
        }
        if (m_buffer.size() + line.size() > bufferBytes) {
            ++m_dropped;
            return;
        }
        if (m_buffer.empty()) {
            m_bufferedSince = now;
        }
        m_buffer += line;
        if (now - m_bufferedSince >= maxBufferTime || m_buffer.size() >= bufferBytes / 2) {
            writeBuffer();
        }
    }

    /// Writes the buffer; leaves it unchanged while standard output is not writable.
    void writeBuffer()
    {
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        if (m_buffer.empty() || poll(&output, 1, 0) <= 0) {
            return;
        }
        const ssize_t n = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        // A failed write cannot be reported anywhere, so the buffered lines are discarded.
        m_buffer.erase(0, n > 0 ? static_cast<std::size_t>(n) : m_buffer.size());
    }

    void reportDropped()
    {
        if (m_dropped == 0) {
            return;
        }
        const EventInfo &info = eventInfo(EventId::LogLinesDropped);
        const std::string line = std::to_string(static_cast<int>(info.id)) + " "
                                 + std::string(info.name) + " lines=" + std::to_string(m_dropped)
                                 + "\n";
        if (m_buffer.size() + line.size() <= bufferBytes) {
            m_buffer += line;
            m_dropped = 0;
        }
    }

    std::string m_buffer;
    TimePoint m_bufferedSince;
    TimePoint m_secondStart;
    int m_linesInSecond = 0;
    std::map<log4cplus::tstring, int> m_linesOfEvent;
    std::uint64_t m_dropped = 0;
};

/// Appender in use, owned by the logger; null before openLog().
std::atomic<NonBlockingAppender *> openedAppender = nullptr;

std::atomic<std::uint64_t> &counterOf(EventId id)
{
    static std::vector<std::atomic<std::uint64_t>> counters(eventCatalogue().size());
    return counters[static_cast<std::size_t>(&eventInfo(id) - eventCatalogue().data())];
}

void appendFieldValue(std::string &line, const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"\n") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"') {
            line += '\'';
        } else if (c == '\n') {
            line += ' ';
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

void openLog(const LogOptions &options)
{
    auto *const stdoutAppender = new NonBlockingAppender;
    const log4cplus::SharedAppenderPtr appender(stdoutAppender);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} "
                                                                   + options.daemon + " %p %m%n"));
    rootLogger().removeAllAppenders();
    rootLogger().addAppender(appender);
    rootLogger().setLogLevel(levelOf(options.minimumSeverity));
    openedAppender = stdoutAppender;
    isOpen = true;
}

void flushLog()
{
    if (NonBlockingAppender *const stdoutAppender = openedAppender) {
        stdoutAppender->flush();
    }
}

void logEvent(EventId id, std::initializer_list<LogField> fields)
{
    ++counterOf(id);
    if (!isOpen) {
        return;
    }
    const EventInfo &info = eventInfo(id);
    std::string line = std::to_string(static_cast<int>(id));
    line += ' ';
    line += info.name;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendFieldValue(line, field.value);
    }
    rootLogger().log(levelOf(info.severity), line);
}

std::uint64_t eventCount(EventId id)
{
    return counterOf(id);
}

} // namespace acaciadeal
