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
    /// Requests without an answer of status 200, by the name of their result code.
    std::map<std::string, std::uint64_t> refused;
    /// Times from the intended send time to the answer, of answered requests. A late send counts
    /// against the target, so a stall is not hidden by the requests that it holds up.
    Histogram latency;
};

/// Sends all requests of the scenario at their intended times, without waiting for answers, and
/// returns after the last answer or timeout, with one result per class. Request ids begin with
/// @p run, which should differ between runs, because daemons remember ids. Thread-safe.
std::vector<ClassResult> runLoad(const Scenario &scenario, const std::string &run);

std::string toText(const std::vector<ClassResult> &results);
std::string toJson(const std::vector<ClassResult> &results);

} // namespace acaciadeal

#endif
