#include "failure/process.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace acaciadeal::failure_tests {

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
    : m_logFile(logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection that this process closes would stay open as long as a child has inherited it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error =
        posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error(command[0] + ": " + std::strerror(error));
    }
}

Process::~Process()
{
    kill();
}

void Process::signal(int signalNumber)
{
    if (!status()) {
        ::kill(m_pid, signalNumber);
    }
}

std::optional<int> Process::status()
{
    int status = 0;
    if (!m_status && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_status = status;
    }
    return m_status;
}

void Process::kill()
{
    if (!status()) {
        ::kill(m_pid, SIGKILL);
        int status = 0;
        while (waitpid(m_pid, &status, 0) < 0 && errno == EINTR) { }
        m_status = status;
    }
}

std::string Process::log() const
{
    std::ifstream file(m_logFile);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string listeningEndpoint(const std::string &log)
{
    static const std::string marker = "listening on ";
    const auto begin = log.find(marker);
    const auto end = log.find('\n', begin == std::string::npos ? 0 : begin);
    if (begin == std::string::npos || end == std::string::npos) {
        return {};
    }
    return log.substr(begin + marker.size(), end - begin - marker.size());
}

ReservedPort::ReservedPort()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto *const generic = reinterpret_cast<sockaddr *>(&address);
    if (m_socket < 0 || setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || bind(m_socket, generic, size) != 0 || getsockname(m_socket, generic, &size) != 0) {
        throw std::runtime_error(std::string("cannot reserve a port: ") + std::strerror(errno));
    }
    m_port = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
    close(m_socket);
}

std::string ReservedPort::endpoint() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

TemporaryFolder::TemporaryFolder()
    : m_path((std::filesystem::temp_directory_path() / "acaciadeal-XXXXXX").string())
{
    if (mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error(m_path + ": " + std::strerror(errno));
    }
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::file(const std::string &name) const
{
    return m_path + "/" + name;
}

} // namespace acaciadeal::failure_tests
