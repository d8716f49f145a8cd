#pragma once

#include "flow/packet_edit.hpp"

#include <optional>
#include <span>

namespace cornelcross::net {

/// @brief Compresses aBytes with zlib. Configuration documents shrink to about a tenth.
flow::Bytes compress(std::span<const std::byte> aBytes);

/// @brief Reverses compress(). @return empty if the input is damaged or the output would exceed
/// aMaxBytes
std::optional<flow::Bytes> decompress(std::span<const std::byte> aBytes, std::size_t aMaxBytes);

} // namespace cornelcross::net
