#pragma once

#include "wire/message.hpp"

#include <string_view>

namespace cornelcross::wire {

/// @brief Reason for which a datagram is not decoded.
enum class DecodeError
{
  kTruncated,      ///< shorter than the fields of the message
  kNotAFrame,      ///< does not begin with the magic number
  kUnknownVersion, ///< a protocol version that this process does not support
  kUnknownKind,    ///< a message kind that this protocol version does not define
  kInvalid,        ///< a field has a value out of range
  kTrailingBytes,  ///< bytes after the last field
};

/// @brief Name of the error in logs and metrics.
std::string_view toString(DecodeError aError);

/// @brief Size of the largest datagram that is encoded or decoded.
inline constexpr std::size_t kMaxDatagramBytes = 65507;

/// @brief True if the datagram begins with the magic number of a frame. False for a bare IPv4
/// packet, whose first nibble is 4.
bool isFrame(std::span<const std::byte> aDatagram);

/// @brief Encodes a frame. The packet of a Forward follows the other fields unchanged.
flow::Bytes encode(const Frame& aFrame);

/// @brief Encodes a Forward with aPacket in place of aForward.mPacket. Saves the caller a copy of
/// the packet.
flow::Bytes encodeForward(std::uint64_t aRevision,
                          const Forward& aForward,
                          std::span<const std::byte> aPacket);

/// @brief Decodes a frame. Never throws and never reads past the end of aDatagram.
std::variant<Frame, DecodeError> decode(std::span<const std::byte> aDatagram);

} // namespace cornelcross::wire
