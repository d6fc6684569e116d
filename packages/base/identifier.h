#ifndef ACACIADEAL_BASE_IDENTIFIER_H
#define ACACIADEAL_BASE_IDENTIFIER_H

#include <compare>
#include <functional>
#include <string>

namespace acaciadeal {

/// Strongly typed string id, so that ids of different kinds of entities cannot be mixed up.
template<typename Tag>
struct Identifier
{
    std::string value;

    bool empty() const
    {
        return value.empty();
    }
    friend auto operator<=>(const Identifier &, const Identifier &) = default;
};

using TaskId = Identifier<struct TaskTag>;
using JobId = Identifier<struct JobTag>;
using TeamId = Identifier<struct TeamTag>;
using HostId = Identifier<struct HostTag>;
using RackId = Identifier<struct RackTag>;
using ShardId = Identifier<struct ShardTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using DaemonId = Identifier<struct DaemonTag>;
using InstanceId = Identifier<struct InstanceTag>;
using ServiceId = Identifier<struct ServiceTag>;
using RequestId = Identifier<struct RequestTag>;

} // namespace acaciadeal

template<typename Tag>
struct std::hash<acaciadeal::Identifier<Tag>>
{
    std::size_t operator()(const acaciadeal::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

#endif
