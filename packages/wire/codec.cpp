#include "wire/codec.h"

#include "wire/generated/messages_generated.h"

#include <utility>

namespace acaciadeal {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::string stringOrEmpty(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

Endpoint endpointOrEmpty(const flatbuffers::String *text)
{
    return parseEndpoint(stringOrEmpty(text)).value_or(Endpoint{});
}

Offset<wire::Member> packMember(FlatBufferBuilder &builder, const MemberInfo &member)
{
    return wire::CreateMember(builder, builder.CreateString(member.daemon.value),
                              member.incarnation, builder.CreateString(member.failureDomain.value),
                              builder.CreateString(toString(member.http)),
                              builder.CreateString(toString(member.peer)));
}

MemberInfo unpackMember(const wire::Member &member)
{
    return {.daemon = {stringOrEmpty(member.daemon())},
            .incarnation = member.incarnation(),
            .failureDomain = {stringOrEmpty(member.failure_domain())},
            .http = endpointOrEmpty(member.http_endpoint()),
            .peer = endpointOrEmpty(member.peer_endpoint())};
}

/// Type and offset of a packed union member.
using PackedBody = std::pair<wire::Body, Offset<void>>;

struct Packer
{
    FlatBufferBuilder &builder;

    PackedBody operator()(const Heartbeat &heartbeat) const
    {
        std::vector<Offset<wire::Member>> members;
        for (const MemberInfo &member : heartbeat.members) {
            members.push_back(packMember(builder, member));
        }
        const auto sender = packMember(builder, heartbeat.sender);
        const auto memberVector = builder.CreateVector(members);
        const auto leaving = builder.CreateVectorOfStrings(heartbeat.leavingInstances);
        return {wire::Body::Heartbeat,
                wire::CreateHeartbeat(builder, sender, memberVector, leaving,
                                      heartbeat.settingsVersion, heartbeat.leaving)
                    .Union()};
    }

    PackedBody operator()(const SettingsFetch &fetch) const
    {
        return {wire::Body::SettingsFetch,
                wire::CreateSettingsFetch(builder, fetch.afterVersion).Union()};
    }

    PackedBody operator()(const SettingsEntries &entries) const
    {
        std::vector<Offset<wire::SettingsEntry>> packed;
        for (const SettingsEntry &entry : entries.entries) {
            packed.push_back(
                wire::CreateSettingsEntry(builder, entry.version, builder.CreateString(entry.path),
                                          builder.CreateString(entry.value), entry.pathVersion,
                                          builder.CreateString(entry.team.value),
                                          builder.CreateString(entry.requestId.value)));
        }
        return {wire::Body::SettingsEntries,
                wire::CreateSettingsEntries(builder, builder.CreateVector(packed)).Union()};
    }

    PackedBody operator()(const ForwardedRequest &request) const
    {
        return {wire::Body::ForwardedRequest,
                wire::CreateForwardedRequest(builder, builder.CreateString(request.id.value),
                                             builder.CreateString(request.tenant),
                                             builder.CreateString(request.requestClass),
                                             builder.CreateString(request.service.value),
                                             request.repeatable,
                                             static_cast<std::uint32_t>(request.timeout.count()),
                                             builder.CreateString(request.body))
                    .Union()};
    }

    PackedBody operator()(const ForwardedAnswer &answer) const
    {
        return {wire::Body::ForwardedAnswer,
                wire::CreateForwardedAnswer(builder, static_cast<std::uint16_t>(answer.status),
                                            builder.CreateString(answer.body))
                    .Union()};
    }

    PackedBody operator()(const Refusal &refusal) const
    {
        return {wire::Body::Refusal,
                wire::CreateRefusal(builder, static_cast<std::uint16_t>(refusal.error.code),
                                    builder.CreateString(refusal.error.message),
                                    builder.CreateString(refusal.error.where))
                    .Union()};
    }
};

Heartbeat unpack(const wire::Heartbeat &table)
{
    Heartbeat heartbeat;
    heartbeat.sender = unpackMember(*table.sender());
    if (table.members() != nullptr) {
        for (const wire::Member *const member : *table.members()) {
            heartbeat.members.push_back(unpackMember(*member));
        }
    }
    if (table.leaving_instances() != nullptr) {
        for (const flatbuffers::String *const instance : *table.leaving_instances()) {
            heartbeat.leavingInstances.push_back(stringOrEmpty(instance));
        }
    }
    heartbeat.settingsVersion = table.settings_version();
    heartbeat.leaving = table.leaving();
    return heartbeat;
}

SettingsEntries unpack(const wire::SettingsEntries &table)
{
    SettingsEntries result;
    if (table.entries() != nullptr) {
        for (const wire::SettingsEntry *const entry : *table.entries()) {
            result.entries.push_back({.version = entry->version(),
                                      .path = stringOrEmpty(entry->path()),
                                      .value = stringOrEmpty(entry->value()),
                                      .pathVersion = entry->path_version(),
                                      .team = {stringOrEmpty(entry->team())},
                                      .requestId = {stringOrEmpty(entry->request_id())}});
        }
    }
    return result;
}

ForwardedRequest unpack(const wire::ForwardedRequest &table)
{
    return {.id = {stringOrEmpty(table.id())},
            .tenant = stringOrEmpty(table.tenant()),
            .requestClass = stringOrEmpty(table.request_class()),
            .service = {stringOrEmpty(table.service())},
            .repeatable = table.repeatable(),
            .timeout = milliseconds(table.timeout_ms()),
            .body = stringOrEmpty(table.body())};
}

} // namespace

Result<std::string> encodeFrame(const Envelope &envelope)
{
    FlatBufferBuilder builder;
    const auto [type, body] = std::visit(Packer{builder}, envelope.message);
    builder.Finish(wire::CreateEnvelope(builder, envelope.correlation, type, body));
    const std::size_t size = builder.GetSize();
    if (size > maxFramePayloadBytes) {
        return failure(ResultCode::FrameTooLarge, "frame payload of " + std::to_string(size)
                                                      + " bytes exceeds the limit of "
                                                      + std::to_string(maxFramePayloadBytes));
    }
    std::string frame;
    frame.reserve(frameHeaderBytes + size);
    for (std::size_t n = 0; n < frameHeaderBytes; ++n) {
        frame += static_cast<char>((size >> (8 * n)) & 0xff);
    }
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), size);
    return frame;
}

Result<std::size_t> decodeFrameHeader(const std::array<char, frameHeaderBytes> &header)
{
    std::size_t size = 0;
    for (std::size_t n = 0; n < frameHeaderBytes; ++n) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(header[n])) << (8 * n);
    }
    if (size > maxFramePayloadBytes) {
        return failure(ResultCode::FrameTooLarge,
                       "frame header specifies a payload of " + std::to_string(size)
                           + " bytes; the limit is " + std::to_string(maxFramePayloadBytes));
    }
    return size;
}

Result<Envelope> decodePayload(std::string_view payload)
{
    const auto *const data = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(data, payload.size());
    if (!wire::VerifyEnvelopeBuffer(verifier)) {
        return failure(ResultCode::InvalidMessage, "the payload fails FlatBuffers verification",
                       "frame");
    }
    const wire::Envelope &table = *wire::GetEnvelope(data);
    Envelope envelope{.correlation = table.correlation()};
    switch (table.body_type()) {
    case wire::Body::Heartbeat:
        envelope.message = unpack(*table.body_as_Heartbeat());
        return envelope;
    case wire::Body::SettingsFetch:
        envelope.message = SettingsFetch{table.body_as_SettingsFetch()->after_version()};
        return envelope;
    case wire::Body::SettingsEntries:
        envelope.message = unpack(*table.body_as_SettingsEntries());
        return envelope;
    case wire::Body::ForwardedRequest:
        envelope.message = unpack(*table.body_as_ForwardedRequest());
        return envelope;
    case wire::Body::ForwardedAnswer: {
        const wire::ForwardedAnswer &answer = *table.body_as_ForwardedAnswer();
        envelope.message = ForwardedAnswer{answer.status(), stringOrEmpty(answer.body())};
        return envelope;
    }
    case wire::Body::Refusal: {
        const wire::Refusal &refusal = *table.body_as_Refusal();
        envelope.message =
            Refusal{{static_cast<ResultCode>(refusal.code()), stringOrEmpty(refusal.message()),
                     stringOrEmpty(refusal.where())}};
        return envelope;
    }
    case wire::Body::NONE:
        break;
    }
    return failure(ResultCode::UnknownMessage, "unknown message type", "body");
}

} // namespace acaciadeal
