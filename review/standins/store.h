#ifndef ACACIADEAL_REVIEW_STORE_H
#define ACACIADEAL_REVIEW_STORE_H

#include "base/time.h"
#include "http/httpserver.h"
#include "record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::review {

/// Stand-in for the users' table store: rows in tables and parts, conditional transactions that a
/// part executes one after another, range reads of one part, and a change feed. Each daemon has an
/// address of its own. Used only on the loop's single thread.
class Store
{
public:
    Store(EventLoop &loop, Record &record);

    /// Opens an address for another daemon. Throws std::runtime_error if no port can be opened.
    Endpoint addCaller();
    /// Writes a row on behalf of the operator or of a server.
    void put(const std::string &table, const std::string &key, const nlohmann::json &value);
    /// Returns the caller of the last successful conditional write to @p table.
    std::optional<std::size_t> lastConditionalWriter(const std::string &table) const;
    /// Sets a function that returns for a transaction how much later it is executed; it then gets
    /// no answer. Without a value, the transaction is executed and answered as usual.
    void setLateWrites(std::function<std::optional<Duration>(const nlohmann::json &)> lateness);
    /// Returns when the last late write was executed, in the record's time.
    std::optional<std::int64_t> lateWriteMs() const;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string part;
        std::string key;
        std::string value;
        bool deleted = false;
    };
    using Reply = std::function<void(HttpResponse)>;
    /// Rows by part and key.
    using Table = std::map<std::pair<std::string, std::string>, Row>;

    void serve(std::size_t caller, const HttpRequest &request, const HttpResponder &respond);
    void scheduleTransaction(std::size_t caller, const nlohmann::json &call, const Reply &reply);
    HttpResponse commit(std::size_t caller, const nlohmann::json &call);
    HttpResponse read(const std::string &target);
    void feed(const std::string &target, TimePoint until, const Reply &reply);
    void write(const std::string &table, const std::string &part, const std::string &key,
               const std::string &value);
    void remove(const std::string &table, const std::string &part, const std::string &key);
    HttpResponse answer(nlohmann::json body, unsigned status = 200) const;

    EventLoop &m_loop;
    Record &m_record;
    std::map<std::string, Table> m_tables;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    /// When each part has executed the transactions that it has accepted.
    std::map<std::string, TimePoint> m_partFreeAt;
    std::map<std::string, std::size_t> m_lastConditionalWriter;
    std::function<std::optional<Duration>(const nlohmann::json &)> m_lateness;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::vector<Reply> m_unanswered;
    std::optional<std::int64_t> m_lateWriteMs;
};

} // namespace acaciadeal::review

#endif
