#ifndef ACACIADEAL_WIRE_CODEC_H
#define ACACIADEAL_WIRE_CODEC_H

#include "wire/message.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace acaciadeal {

/// Largest payload of a frame in bytes.
inline constexpr std::size_t maxFramePayloadBytes = 1024 * 1024;
/// Size in bytes of the length field that precedes the payload.
inline constexpr std::size_t frameHeaderBytes = 4;

struct Envelope
{
    /// Correlation id: matches an answer to its request; unique per connection.
    std::uint64_t correlation = 0;
    PeerMessage message;
};

/// Encodes @p envelope as a frame: little-endian payload length, then the FlatBuffers payload.
/// Errors: FrameTooLarge. Thread-safe.
Result<std::string> encodeFrame(const Envelope &envelope);

/// Returns the payload size in bytes from a frame header. Errors: FrameTooLarge. Thread-safe.
Result<std::size_t> decodeFrameHeader(const std::array<char, frameHeaderBytes> &header);

/// Verifies and decodes a payload. No field is read before the FlatBuffers verifier has accepted
/// it. Errors: InvalidMessage, UnknownMessage. Thread-safe.
Result<Envelope> decodePayload(std::string_view payload);

} // namespace acaciadeal

#endif
