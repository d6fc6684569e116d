#ifndef ACACIADEAL_BENCH_LOAD_LOADRUN_H
#define ACACIADEAL_BENCH_LOAD_LOADRUN_H

#include "histogram.h"
#include "scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciadeal {

struct ClassResult
{
    std::string name;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Requests that got no response with status 200, by result code name.
    std::map<std::string, std::uint64_t> refused;
    /// Times from the intended send time to the answer, for answered requests. Measuring from the
    /// intended time avoids coordinated omission: a stall also counts for the requests it delays.
    Histogram latency;
};

/// Runs an open-loop load: sends every request of the scenario at its intended time without waiting
/// for earlier answers. Returns one result per class after the last answer or timeout. Request ids
/// begin with @p idPrefix, which should differ between runs, because daemons deduplicate requests
/// by id. Thread-safe.
std::vector<ClassResult> runLoad(const Scenario &scenario, const std::string &idPrefix);

std::string toText(const std::vector<ClassResult> &results);
std::string toJson(const std::vector<ClassResult> &results);

} // namespace acaciadeal

#endif
