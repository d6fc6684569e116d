#ifndef ACACIADEAL_STANDINS_WORKERJSON_H
#define ACACIADEAL_STANDINS_WORKERJSON_H

#include "scheduling/workermessage.h"

#include <string>

namespace acaciadeal::standins {

// The worker interface's JSON form, written independently of the daemon's codec so that a field
// that one side renames fails a test. Decoding errors: MalformedRequest. Thread-safe.

Result<WorkerOrders> parseOrders(const std::string &text);
std::string formatOrders(const WorkerOrders &orders);
Result<WorkerReport> parseReport(const std::string &text);
std::string formatReport(const WorkerReport &report);

} // namespace acaciadeal::standins

#endif
