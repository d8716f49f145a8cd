#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

/// @brief Access to big-endian fields of packets. Callers have checked the bounds.
namespace cornelcross::flow {

inline std::uint8_t read8(std::span<const std::byte> aBytes, std::size_t aAt)
{
  return std::to_integer<std::uint8_t>(aBytes[aAt]);
}

inline std::uint16_t read16(std::span<const std::byte> aBytes, std::size_t aAt)
{
  return static_cast<std::uint16_t>((read8(aBytes, aAt) << 8U) | read8(aBytes, aAt + 1));
}

inline std::uint32_t read32(std::span<const std::byte> aBytes, std::size_t aAt)
{
  return (std::uint32_t{ read16(aBytes, aAt) } << 16U) | read16(aBytes, aAt + 2);
}

inline void write16(std::span<std::byte> aBytes, std::size_t aAt, std::uint16_t aValue)
{
  aBytes[aAt] = static_cast<std::byte>(aValue >> 8U);
  aBytes[aAt + 1] = static_cast<std::byte>(aValue & 0xFFU);
}

inline void write32(std::span<std::byte> aBytes, std::size_t aAt, std::uint32_t aValue)
{
  write16(aBytes, aAt, static_cast<std::uint16_t>(aValue >> 16U));
  write16(aBytes, aAt + 2, static_cast<std::uint16_t>(aValue & 0xFFFFU));
}

} // namespace cornelcross::flow
