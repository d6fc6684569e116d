#include "dispatch/taskrun.h"

namespace acaciadeal {

std::string describe(const TaskKey &task)
{
    std::string text =
        task.job.value + "/" + std::to_string(task.step) + "/" + std::to_string(task.index);
    if (task.occurrence > 0) {
        text += "#" + std::to_string(task.occurrence);
    }
    return text;
}

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseLapsed:
        return "lease-lapsed";
    case RunEnd::GangBroken:
        return "gang-broken";
    case RunEnd::GangIncomplete:
        return "gang-incomplete";
    }
    return "unrecognized";
}

std::string_view startOutcomeName(StartOutcome outcome)
{
    switch (outcome) {
    case StartOutcome::Started:
        return "started";
    case StartOutcome::NoRoom:
        return "no-room";
    case StartOutcome::Outdated:
        return "outdated";
    case StartOutcome::LeaseLapsed:
        return "lease-lapsed";
    case StartOutcome::Fenced:
        return "fenced";
    case StartOutcome::WrongInstance:
        return "wrong-instance";
    case StartOutcome::HostRestarted:
        return "host-restarted";
    case StartOutcome::Unhealthy:
        return "unhealthy";
    case StartOutcome::Malformed:
        return "malformed";
    case StartOutcome::NotSent:
        return "not-sent";
    case StartOutcome::Unknown:
        return "unknown";
    }
    return "unrecognized";
}

} // namespace acaciadeal
