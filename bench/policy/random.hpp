#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace cornelcross::bench {

/// @brief Seeded random draws that are equal with every compiler, standard library and machine.
class Random
{
public:
  explicit Random(std::uint64_t aSeed) : mEngine(aSeed) {}

  /// @brief Uniform integer of 64 bits.
  std::uint64_t word() { return mEngine(); }

  /// @brief Uniform number in [0, 1).
  double uniform();

  /// @brief Uniform number in [aMin, aMax).
  double between(double aMin, double aMax) { return aMin + (aMax - aMin) * uniform(); }

  /// @brief True with the probability aProbability.
  bool happens(double aProbability) { return uniform() < aProbability; }

  /// @brief Exponentially distributed number.
  /// @param aRate events a unit, above 0
  double exponential(double aRate);

  /// @brief Log-normally distributed number.
  /// @param aMean mean of its logarithm
  /// @param aDeviation standard deviation of its logarithm
  double logNormal(double aMean, double aDeviation);

  /// @brief Index that is drawn with a probability in proportion to its weight.
  /// @pre a weight is above 0
  std::size_t choose(const std::vector<double>& aWeights);

private:
  std::mt19937_64 mEngine;
};

/// @brief Natural logarithm of a finite number above 0.
double logarithm(double aValue);

/// @brief Exponential function, for results within the range of normal numbers.
double exponential(double aValue);

/// @brief Sine of an angle in turns.
double sineOfTurns(double aTurns);

} // namespace cornelcross::bench
