#ifndef ACACIADEAL_FAILURE_PROCESS_H
#define ACACIADEAL_FAILURE_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace acaciadeal::failure_tests {

/// Child process. The destructor kills it if it is still running. Not thread-safe.
class Process
{
public:
    /// Starts @p command and appends its output to @p logFile. The child inherits no other open
    /// files. Throws std::runtime_error if the process cannot be started.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Sends @p signalNumber if the child has not been reaped.
    void signal(int signalNumber);

    /// Returns the wait status of the child if it has ended. Does not block.
    std::optional<int> status();

    /// Sends SIGKILL and reaps the child.
    void kill();

    /// Returns the child's output so far.
    std::string log() const;

private:
    pid_t m_pid = 0;
    std::string m_logFile;
    std::optional<int> m_status;
};

/// Returns the endpoint after "listening on " in @p log, or an empty string.
std::string listeningEndpoint(const std::string &log);

/// Free port of the loopback address. It stays bound, without listening, for the lifetime of the
/// object, so that no other process gets it while a daemon that uses it restarts.
class ReservedPort
{
public:
    /// Throws std::runtime_error if no port can be bound.
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    std::string endpoint() const;

private:
    int m_socket = -1;
    int m_port = 0;
};

/// Folder in the system's temporary folder. The destructor deletes it with its content.
class TemporaryFolder
{
public:
    /// Throws std::runtime_error if the folder cannot be created.
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /// Returns the path of a file in the folder.
    std::string file(const std::string &name) const;

private:
    std::string m_path;
};

} // namespace acaciadeal::failure_tests

#endif
