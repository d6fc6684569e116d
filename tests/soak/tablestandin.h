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

/// Faults that the store injects into the calls of one daemon.
struct StoreFault
{
    /// HTTP status with which every call is refused; 0 if calls are served.
    unsigned refusalStatus = 0;
    /// Share of the writes that are committed but not answered.
    double lostAnswerShare = 0;
    /// Share of the writes that get no answer and are committed 1 to 4 s later.
    double delayedWriteShare = 0;
    Duration delay{0};
};

/// Stand-in for the users' table store. Implements their published protocol: rows whose versions
/// come from a single counter, conditional transactions, reads and a change feed. Each daemon has
/// its own address, so that faults can be limited to one daemon. Used only on the loop's single
/// thread.
class TableStandin
{
public:
    TableStandin(EventLoop &loop, std::mt19937_64 &random);

    /// Opens a listening socket for another daemon and returns its endpoint. Throws
    /// std::runtime_error if no port can be opened.
    Endpoint addCaller();
    void setFault(std::size_t caller, const StoreFault &fault);
    /// Writes a row on behalf of another client of the store.
    void put(const std::string &table, const std::string &key, const nlohmann::json &value);
    void erase(const std::string &table, const std::string &key);
    /// Returns the name of the daemon in the owner row; empty if there is none.
    std::string holder() const;
    /// Discards the change history; feed calls that start before this point get status 410.
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
    /// Answers as soon as there is a change, at the latest at @p until (long poll).
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
