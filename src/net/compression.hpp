#pragma once

#include "flow/packet_edit.hpp"

#include <optional>
#include <span>

namespace cornelcross::net {

/// @brief Compresses aBytes (zlib). Configuration documents shrink to about a tenth.
flow::Bytes compress(std::span<const std::byte> aBytes);

/// @brief Reverses compress(); empty if the input is damaged or longer than aMaxBytes.
std::optional<flow::Bytes> decompress(std::span<const std::byte> aBytes, std::size_t aMaxBytes);

} // namespace cornelcross::net
