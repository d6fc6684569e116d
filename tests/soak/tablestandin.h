#ifndef ACACIADEAL_SOAK_TABLESTANDIN_H
#define ACACIADEAL_SOAK_TABLESTANDIN_H

#include "base/time.h"
#include "standins/faultyserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::soak {

/// How the store treats the calls of one daemon.
struct StoreFault
{
    /// Status with which every call is refused; 0 for none.
    unsigned refusalStatus = 0;
    /// Share of the writes that are carried out and not answered.
    double lostAnswerShare = 0;
    /// Share of the writes that get no answer and are carried out seconds later.
    double delayedWriteShare = 0;
    Duration delay{0};
};

/// Stand-in of the users' table store, by their published protocol: rows with versions from one
/// counter, conditional transactions, reads and a feed. Every daemon has an address of its own, so
/// that faults can hit one of them. Used on the loop's only thread.
class TableStandin
{
public:
    TableStandin(EventLoop &loop, std::mt19937_64 &random);

    /// Opens an address for one more daemon and returns it. Throws std::runtime_error.
    Endpoint addCaller();
    void setFault(std::size_t caller, const StoreFault &fault);
    /// Writes a row as the platform's other users do.
    void put(const std::string &table, const std::string &key, const nlohmann::json &value);
    void erase(const std::string &table, const std::string &key);
    /// Forgets all changes so far; feeds that are behind get 410.
    void dropHistory();

private:
    struct StoredRow
    {
        std::string part;
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        bool deleted = false;
    };
    using Table = std::map<std::string, StoredRow>;

    void serve(std::size_t caller, const HttpRequest &request,
               const standins::FaultyResponder &respond);
    HttpResponse commit(const nlohmann::json &call);
    HttpResponse read(const std::string &target);
    /// Answers once there is a change, or at @p until.
    void feed(const std::string &target, TimePoint until,
              const std::function<void(HttpResponse)> &respond);
    nlohmann::json rowJson(const std::string &table, const std::string &key) const;
    HttpResponse answer(nlohmann::json body, unsigned status = 200) const;

    EventLoop &m_loop;
    std::mt19937_64 &m_random;
    std::map<std::string, Table> m_tables;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_oldestFeedVersion = 0;
    std::vector<std::unique_ptr<standins::FaultyServer>> m_servers;
    std::vector<StoreFault> m_faults;
};

} // namespace acaciadeal::soak

#endif
