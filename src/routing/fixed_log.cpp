#include "routing/fixed_log.hpp"

#include <array>
#include <bit>

namespace cornelcross::routing {

namespace {

constexpr unsigned kFractionBits = 32;
constexpr unsigned kTableBits = 8;
constexpr std::size_t kTableSize = (std::size_t{ 1 } << kTableBits) + 1;

/// log2(1 + aIndex / 256) in units of 2^-32, computed bit by bit by repeated squaring.
constexpr std::uint64_t tableEntry(std::uint64_t aIndex)
{
  if (aIndex + 1 == kTableSize) {
    return std::uint64_t{ 1 } << kFractionBits;
  }
  constexpr unsigned kMantissaBits = 31;
  std::uint64_t mantissa =
    (std::uint64_t{ 1 } << kMantissaBits) + (aIndex << (kMantissaBits - kTableBits));
  std::uint64_t result = 0;
  for (unsigned bit = 0; bit < kFractionBits; ++bit) {
    mantissa = (mantissa * mantissa) >> kMantissaBits;
    result <<= 1U;
    if ((mantissa >> (kMantissaBits + 1)) != 0) {
      mantissa >>= 1U;
      result |= 1U;
    }
  }
  return result;
}

constexpr std::array<std::uint64_t, kTableSize> makeTable()
{
  std::array<std::uint64_t, kTableSize> table{};
  for (std::size_t i = 0; i < kTableSize; ++i) {
    table[i] = tableEntry(i);
  }
  return table;
}

constexpr auto kTable = makeTable();

} // namespace

std::uint64_t negativeLog2(std::uint64_t aHash)
{
  constexpr std::uint64_t kWordBits = 64;
  if (aHash == 0) {
    return kWordBits << kFractionBits;
  }
  const auto leadingZeros = static_cast<unsigned>(std::countl_zero(aHash));
  // Of the 32 bits after the leading one bit, 8 select the table entry and 24 interpolate.
  const std::uint64_t fraction = leadingZeros == kWordBits - 1
                                   ? 0
                                   : (aHash << (leadingZeros + 1)) >> (kWordBits - kFractionBits);
  constexpr unsigned kStepBits = kFractionBits - kTableBits;
  const std::uint64_t index = fraction >> kStepBits;
  const std::uint64_t step = fraction & ((std::uint64_t{ 1 } << kStepBits) - 1);
  const std::uint64_t low = kTable[index];
  const std::uint64_t log = low + (((kTable[index + 1] - low) * step) >> kStepBits);
  return ((std::uint64_t{ leadingZeros } + 1) << kFractionBits) - log;
}

} // namespace cornelcross::routing
