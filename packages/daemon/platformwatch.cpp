#include "daemon/platformwatch.h"

#include "logging/log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

PlatformWatch::PlatformWatch(DaemonContext &context, const PlatformWatchOptions &options)
    : m_context(context)
    , m_options(options)
{
    for (const FailureDomainId &domain : context.settings.failureDomains) {
        m_view.domains[domain] = {};
    }
}

void PlatformWatch::start(std::function<void()> onUpdate)
{
    m_onUpdate = std::move(onUpdate);
    readRows();
    readHostRows();
    readHosts();
    readMembers();
    m_context.control.postEvery(m_options.rowReadPeriod, [this] { readRows(); });
    m_context.control.postEvery(m_options.hostReadPeriod, [this] {
        readHostRows();
        readHosts();
    });
    m_context.control.postEvery(m_options.memberReadPeriod, [this] { readMembers(); });
}

const PlatformView &PlatformWatch::view() const
{
    return m_view;
}

void PlatformWatch::setReachable(bool reachable)
{
    if (reachable != m_view.reachable) {
        logEvent(reachable ? EventId::PlatformReachable : EventId::PlatformUnreachable);
    }
    m_view.reachable = reachable;
    m_context.metrics.set("platform_reachable", {}, reachable ? 1 : 0);
}

void PlatformWatch::readRows()
{
    if (m_readingRows) {
        return;
    }
    m_readingRows = true;
    RowQuery query;
    for (const FailureDomainId &domain : m_context.settings.failureDomains) {
        const ShardId shard{domain.value};
        query.keys.insert(query.keys.end(), {ownerKey(shard), aliveKey(shard), domainKey(domain)});
    }
    m_context.platform.read(query, [this, sentAt = std::chrono::steady_clock::now()](
                                       const Result<std::vector<Row>> &rows) {
        m_readingRows = false;
        setReachable(rows.has_value());
        if (rows) {
            onRows(*rows, sentAt);
        }
        m_onUpdate();
    });
}

void PlatformWatch::onRows(const std::vector<Row> &rows, TimePoint sentAt)
{
    m_view.lastRowRead = {.sentAt = sentAt, .answeredAt = std::chrono::steady_clock::now()};
    std::map<std::string, const Row *> byKey;
    for (const Row &row : rows) {
        byKey[row.key] = &row;
    }
    const auto find = [&byKey](const std::string &key) -> const Row * {
        const auto it = byKey.find(key);
        return it == byKey.end() ? nullptr : it->second;
    };
    for (const FailureDomainId &domain : m_context.settings.failureDomains) {
        const ShardId shard{domain.value};
        OwnerView owner;
        if (const Row *const row = find(ownerKey(shard))) {
            owner.ownerVersion = row->version;
            if (auto decoded = decodeOwnerRow(row->value)) {
                owner.owner = std::move(*decoded);
            }
        }
        if (const Row *const row = find(aliveKey(shard))) {
            owner.aliveVersion = row->version;
        }
        m_view.owners[shard] = std::move(owner);
        DomainView view;
        if (const Row *const row = find(domainKey(domain))) {
            view.version = row->version;
            view.row = decodeDomainRow(row->value).value_or(DomainRow{});
        }
        m_view.domains[domain] = std::move(view);
    }
}

void PlatformWatch::readHostRows()
{
    m_context.platform.read({.prefix = hostPrefix()}, [this](const Result<std::vector<Row>> &rows) {
        if (!rows) {
            return;
        }
        m_view.hostRows.clear();
        for (const Row &row : *rows) {
            if (const auto decoded = decodeHostRow(row.value)) {
                m_view.hostRows[{row.key.substr(hostPrefix().size())}] = *decoded;
            }
        }
        m_onUpdate();
    });
}

void PlatformWatch::readHosts()
{
    m_context.platform.listHosts([this](const Result<std::vector<HostRecord>> &hosts) {
        if (hosts) {
            m_view.hosts = *hosts;
            m_view.hostsRead = true;
            m_onUpdate();
        }
    });
}

void PlatformWatch::readMembers()
{
    m_context.platform.read({.prefix = memberPrefix()},
                            [this](const Result<std::vector<Row>> &rows) {
                                if (!rows) {
                                    return;
                                }
                                m_view.members.clear();
                                for (const Row &row : *rows) {
                                    if (auto member = decodeMember(row.value)) {
                                        m_view.members.push_back(std::move(*member));
                                    }
                                }
                                m_onUpdate();
                            });
}

std::string encode(const MemberInfo &member)
{
    return json{{"daemon", member.daemon.value},
                {"incarnation", member.incarnation},
                {"failure_domain", member.failureDomain.value},
                {"http", toString(member.http)},
                {"peer", toString(member.peer)}}
        .dump();
}

Result<MemberInfo> decodeMember(const std::string &text)
{
    try {
        const json document = json::parse(text);
        return MemberInfo{
            .daemon = {document.at("daemon").get<std::string>()},
            .incarnation = document.at("incarnation").get<std::uint64_t>(),
            .failureDomain = {document.at("failure_domain").get<std::string>()},
            .http = parseEndpoint(document.at("http").get<std::string>()).value_or(Endpoint{}),
            .peer = parseEndpoint(document.at("peer").get<std::string>()).value_or(Endpoint{})};
    } catch (const json::exception &e) {
        return failure(ResultCode::PlatformProtocol, e.what(), text);
    }
}

} // namespace acaciadeal
