#pragma once

#include "wire/message.hpp"

#include <string_view>

namespace cornelcross::wire {

/// @brief Why a datagram was not decoded.
enum class DecodeError
{
  kTruncated,      ///< shorter than its fields
  kNotAFrame,      ///< does not begin with the magic number
  kUnknownVersion, ///< a version of the protocol that this process doesn't speak
  kUnknownKind,    ///< a message that this version doesn't have
  kInvalid,        ///< a field is out of its range
  kTrailingBytes,  ///< bytes after the last field
};

/// @brief Name of the error in logs and metrics.
std::string_view toString(DecodeError aError);

/// @brief Largest datagram, in bytes, that is encoded or decoded.
inline constexpr std::size_t kMaxDatagramBytes = 65507;

/// @brief True if the datagram is a frame; false for a bare IP packet, whose first nibble is 4.
bool isFrame(std::span<const std::byte> aDatagram);

/// @brief Encodes a frame. A Forward's packet follows its header as it is.
flow::Bytes encode(const Frame& aFrame);

/// @brief Encodes a Forward whose packet is aPacket in place of the message's own, without a copy
/// of the packet in between.
flow::Bytes encodeForward(std::uint64_t aRevision,
                          const Forward& aForward,
                          std::span<const std::byte> aPacket);

/// @brief Decodes a frame; never throws and never reads past the end.
std::variant<Frame, DecodeError> decode(std::span<const std::byte> aDatagram);

} // namespace cornelcross::wire
