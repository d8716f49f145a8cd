#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>

/// @brief Peer discovery, failure detection, and distribution and confirmation of the configuration
/// among processes.
namespace cornelcross::membership {

/// @brief Seeded random number generator: the same seed yields the same sequence with every
/// compiler and standard library.
class Random
{
public:
  explicit Random(std::uint64_t aSeed) : mEngine(aSeed) {}

  /// @brief Uniform integer in [0, aBound).
  /// @pre aBound > 0
  std::size_t below(std::size_t aBound) { return static_cast<std::size_t>(scaled(aBound)); }

  /// @brief Uniform duration in [aMin, aMax].
  /// @pre aMin <= aMax
  base::Duration between(base::Duration aMin, base::Duration aMax)
  {
    const auto count = static_cast<std::uint64_t>((aMax - aMin).count()) + 1;
    return aMin + base::Duration(static_cast<base::Duration::rep>(scaled(count)));
  }

private:
  // The standard does not define the algorithm of its distributions. This is the one of D. Lemire,
  // "Fast Random Integer Generation in an Interval" (2019).
  std::uint64_t scaled(std::uint64_t aBound)
  {
    __extension__ using Product = unsigned __int128;
    constexpr unsigned kWordBits = 64;
    const std::uint64_t threshold = (0 - aBound) % aBound;
    Product product = 0;
    do {
      product = Product{ mEngine() } * aBound;
    } while (static_cast<std::uint64_t>(product) < threshold);
    return static_cast<std::uint64_t>(product >> kWordBits);
  }

  std::mt19937_64 mEngine;
};

} // namespace cornelcross::membership
