#include "daemon/rowkeys.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace acaciadeal {

using nlohmann::json;

namespace {

template<typename Row, typename Fill>
Result<Row> decodeRow(const std::string &text, Fill fill)
{
    try {
        Row row;
        fill(json::parse(text), row);
        return row;
    } catch (const json::exception &e) {
        return failure(ResultCode::PlatformProtocol, e.what(), text);
    }
}

} // namespace

std::string ownerKey(const ShardId &shard)
{
    return "owner/" + shard.value;
}

std::string aliveKey(const ShardId &shard)
{
    return "alive/" + shard.value;
}

std::string snapshotKey(const ShardId &shard)
{
    return "snapshot/" + shard.value;
}

std::string logPrefix(const ShardId &shard)
{
    return "log/" + shard.value + "/";
}

std::string logKey(const ShardId &shard, std::uint64_t sequence)
{
    char digits[24];
    std::snprintf(digits, sizeof digits, "%016llu", static_cast<unsigned long long>(sequence));
    return logPrefix(shard) + digits;
}

std::string inboxPrefix(const ShardId &shard)
{
    return "inbox/" + shard.value + "/";
}

std::string inboxKey(const ShardId &shard, const JobId &job)
{
    return inboxPrefix(shard) + job.value;
}

std::string rejectedKey(const ShardId &shard, const JobId &job)
{
    return "rejected/" + shard.value + "/" + job.value;
}

std::string jobKey(const JobId &job)
{
    return "job/" + job.value;
}

std::string domainKey(const FailureDomainId &domain)
{
    return "domain/" + domain.value;
}

std::string memberPrefix()
{
    return "member/";
}

std::string memberKey(const DaemonId &daemon)
{
    return memberPrefix() + daemon.value;
}

std::string hostPrefix()
{
    return "host/";
}

std::string hostKey(const HostId &host)
{
    return hostPrefix() + host.value;
}

std::string encode(const OwnerRow &row)
{
    return json{{"epoch", row.epoch},
                {"holder", row.holder.value},
                {"claim", row.claimId},
                {"released", row.released},
                {"autonomy_ms", row.autonomy.count()}}
        .dump();
}

std::string encode(const DomainRow &row)
{
    return json{
        {"state", row.in ? "in" : "out"}, {"reason", row.reason}, {"changed_by", row.changedBy}}
        .dump();
}

std::string encode(const HostRow &row)
{
    return json{{"drained", row.drained}, {"confirmed_off", row.confirmedOff}}.dump();
}

std::string encode(const JobRow &row)
{
    return json{{"shard", row.shard.value},
                {"fingerprint", row.fingerprint},
                {"submission", row.submissionId}}
        .dump();
}

std::string encode(const SnapshotRow &row)
{
    return json{{"object", row.object}, {"sequence", row.sequence}}.dump();
}

Result<OwnerRow> decodeOwnerRow(const std::string &text)
{
    return decodeRow<OwnerRow>(text, [](const json &document, OwnerRow &row) {
        row.epoch = document.at("epoch").get<std::uint64_t>();
        row.holder = {document.at("holder").get<std::string>()};
        row.claimId = document.at("claim").get<std::string>();
        row.released = document.at("released").get<bool>();
        row.autonomy = milliseconds(document.at("autonomy_ms").get<std::int64_t>());
    });
}

Result<DomainRow> decodeDomainRow(const std::string &text)
{
    return decodeRow<DomainRow>(text, [](const json &document, DomainRow &row) {
        row.in = document.at("state").get<std::string>() != "out";
        row.reason = document.at("reason").get<std::string>();
        row.changedBy = document.at("changed_by").get<std::string>();
    });
}

Result<HostRow> decodeHostRow(const std::string &text)
{
    return decodeRow<HostRow>(text, [](const json &document, HostRow &row) {
        row.drained = document.at("drained").get<bool>();
        row.confirmedOff = document.at("confirmed_off").get<bool>();
    });
}

Result<JobRow> decodeJobRow(const std::string &text)
{
    return decodeRow<JobRow>(text, [](const json &document, JobRow &row) {
        row.shard = {document.at("shard").get<std::string>()};
        row.fingerprint = document.at("fingerprint").get<std::uint64_t>();
        row.submissionId = document.at("submission").get<std::string>();
    });
}

Result<SnapshotRow> decodeSnapshotRow(const std::string &text)
{
    return decodeRow<SnapshotRow>(text, [](const json &document, SnapshotRow &row) {
        row.object = document.at("object").get<std::string>();
        row.sequence = document.at("sequence").get<std::uint64_t>();
    });
}

} // namespace acaciadeal
