#pragma once

#include "flow/packet_format.hpp"

#include <cstdint>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace cornelcross::test {

/// @brief 64-bit FNV-1a hash of what happens in a run. It is independent of byte order and of the
/// sizes of types.
class Fingerprint
{
public:
  /// @brief Adds an integer.
  void add(std::uint64_t aValue)
  {
    constexpr unsigned kBytes = 8;
    constexpr unsigned kByteBits = 8;
    for (unsigned i = 0; i < kBytes; ++i) {
      addByte(static_cast<std::uint8_t>(aValue >> (i * kByteBits)));
    }
  }

  /// @brief Adds a text with its length.
  void add(std::string_view aText)
  {
    add(std::uint64_t{ aText.size() });
    for (const char character : aText) {
      addByte(static_cast<std::uint8_t>(character));
    }
  }

  /// @brief Adds the bytes of a packet with their number.
  void add(const flow::Bytes& aBytes)
  {
    add(std::uint64_t{ aBytes.size() });
    for (const std::byte byte : aBytes) {
      addByte(std::to_integer<std::uint8_t>(byte));
    }
  }

  /// @brief The hash as 16 hexadecimal digits.
  std::string toString() const
  {
    constexpr int kDigits = 16;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(kDigits) << mHash;
    return text.str();
  }

private:
  void addByte(std::uint8_t aByte)
  {
    constexpr std::uint64_t kPrime = 0x100000001B3;
    mHash = (mHash ^ aByte) * kPrime;
  }

  std::uint64_t mHash = 0xCBF29CE484222325;
};

} // namespace cornelcross::test
