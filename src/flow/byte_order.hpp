#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

/// @brief Access to big-endian fields of packets at byte offsets. The functions do not check
/// bounds; the caller must.
namespace cornelcross::flow {

inline std::uint8_t read8(std::span<const std::byte> aBytes, std::size_t aOffset)
{
  return std::to_integer<std::uint8_t>(aBytes[aOffset]);
}

inline std::uint16_t read16(std::span<const std::byte> aBytes, std::size_t aOffset)
{
  return static_cast<std::uint16_t>((read8(aBytes, aOffset) << 8U) | read8(aBytes, aOffset + 1));
}

inline std::uint32_t read32(std::span<const std::byte> aBytes, std::size_t aOffset)
{
  return (std::uint32_t{ read16(aBytes, aOffset) } << 16U) | read16(aBytes, aOffset + 2);
}

inline void write16(std::span<std::byte> aBytes, std::size_t aOffset, std::uint16_t aValue)
{
  aBytes[aOffset] = static_cast<std::byte>(aValue >> 8U);
  aBytes[aOffset + 1] = static_cast<std::byte>(aValue & 0xFFU);
}

inline void write32(std::span<std::byte> aBytes, std::size_t aOffset, std::uint32_t aValue)
{
  write16(aBytes, aOffset, static_cast<std::uint16_t>(aValue >> 16U));
  write16(aBytes, aOffset + 2, static_cast<std::uint16_t>(aValue & 0xFFFFU));
}

} // namespace cornelcross::flow
