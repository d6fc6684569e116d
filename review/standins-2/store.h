#ifndef ACACIADEAL_REVIEW_STORE_H
#define ACACIADEAL_REVIEW_STORE_H

#include "http.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace review {

/// The platform's store: tables of rows, conditional transactions, reads and a change feed.
/// Thread-safe.
class Store
{
public:
    Store();

    std::uint16_t port() const;
    /// Writes a row on behalf of the operator or a minion.
    void put(const std::string &table, const std::string &key, const nlohmann::json &value);
    void erase(const std::string &table, const std::string &key);
    /// Returns the value of a row; empty if there is none.
    std::string value(const std::string &table, const std::string &part, const std::string &key);

private:
    struct Name
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const Name &) const = default;
    };
    struct StoredRow
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::uint64_t version = 0;
        Name name;
    };

    Reply serve(const Request &request);
    Response commit(const nlohmann::json &call);
    Response read(const std::string &target);
    Response feed(const std::string &target);
    nlohmann::json rowJson(const Name &name);
    Response answer(nlohmann::json body, int status = 200);
    void write(const Name &name, const std::string &value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, StoredRow> m_rows;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::optional<Server> m_server;
};

} // namespace review

#endif
