#pragma once

#include "base/time.hpp"

#include <random>

/// @brief How processes find each other and spread the configuration.
namespace cornelcross::membership {

/// @brief Seeded random source of the decisions: the same seed gives the same choices.
class Random
{
public:
  explicit Random(std::uint64_t aSeed) : mEngine(aSeed) {}

  /// @brief Uniform integer below aBound; aBound is above zero.
  std::size_t below(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(mEngine);
  }

  /// @brief Uniform duration between aMin and aMax.
  base::Duration between(base::Duration aMin, base::Duration aMax)
  {
    return base::Duration(
      std::uniform_int_distribution<std::int64_t>(aMin.count(), aMax.count())(mEngine));
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace cornelcross::membership
