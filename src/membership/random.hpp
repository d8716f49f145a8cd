#pragma once

#include "base/time.hpp"

#include <random>

/// @brief Peer discovery, failure detection, and distribution and confirmation of the configuration
/// among processes.
namespace cornelcross::membership {

/// @brief Seeded random number generator: the same seed yields the same sequence.
class Random
{
public:
  explicit Random(std::uint64_t aSeed) : mEngine(aSeed) {}

  /// @brief Uniform integer in [0, aBound).
  /// @pre aBound > 0
  std::size_t below(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(mEngine);
  }

  /// @brief Uniform duration in [aMin, aMax].
  base::Duration between(base::Duration aMin, base::Duration aMax)
  {
    return base::Duration(
      std::uniform_int_distribution<std::int64_t>(aMin.count(), aMax.count())(mEngine));
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace cornelcross::membership
