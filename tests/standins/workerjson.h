#ifndef ACACIADEAL_STANDINS_WORKERJSON_H
#define ACACIADEAL_STANDINS_WORKERJSON_H

#include "scheduling/workermessage.h"

#include <string>

namespace acaciadeal::standins {

// JSON codec of the worker interface, independent of the daemon's codec so that tests fail if a
// field is renamed on one side only. Decoding errors: MalformedRequest. Thread-safe.

Result<WorkerOrders> parseOrders(const std::string &text);
std::string formatOrders(const WorkerOrders &orders);
Result<WorkerReport> parseReport(const std::string &text);
std::string formatReport(const WorkerReport &report);

} // namespace acaciadeal::standins

#endif
