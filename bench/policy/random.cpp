#include "bench/policy/random.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cornelcross::bench {

namespace {

// The standard defines neither the algorithms of its distributions nor the last bits of std::log,
// std::exp and std::sin, which differ between machines. The functions of this file use operations
// that IEEE 754 defines exactly; the build turns the contraction into fused operations off.

/// Terms after which a series of this file changes no bit of its sum.
constexpr int kLogarithmTerms = 12;
constexpr int kExponentialTerms = 16;
constexpr int kSineTerms = 11;

} // namespace

double logarithm(double aValue)
{
  int exponent = 0;
  double fraction = std::frexp(aValue, &exponent);
  if (fraction < std::numbers::sqrt2 / 2) {
    fraction *= 2;
    --exponent;
  }
  // log(f) = 2 artanh(z) with z = (f - 1) / (f + 1)
  const double z = (fraction - 1) / (fraction + 1);
  double series = 0;
  for (int term = kLogarithmTerms; term >= 0; --term) {
    series = series * z * z + 1.0 / (2 * term + 1);
  }
  return exponent * std::numbers::ln2 + 2 * z * series;
}

double exponential(double aValue)
{
  const double power = std::floor(aValue / std::numbers::ln2 + 0.5);
  const double rest = aValue - power * std::numbers::ln2;
  double series = 1;
  for (int term = kExponentialTerms; term >= 1; --term) {
    series = 1 + series * rest / term;
  }
  return std::ldexp(series, static_cast<int>(power));
}

double sineOfTurns(double aTurns)
{
  // The nearest half turn leaves an angle of at most a quarter of a turn.
  const double halves = std::floor(2 * aTurns + 0.5);
  const double angle = (2 * aTurns - halves) * std::numbers::pi;
  double series = 1;
  for (int term = kSineTerms; term >= 1; --term) {
    series = 1 - series * angle * angle / (2.0 * term * (2 * term + 1));
  }
  const bool isOdd = std::fmod(halves, 2) != 0;
  return isOdd ? -angle * series : angle * series;
}

double Random::uniform()
{
  constexpr double kUnit = 0x1p-64;
  constexpr double kLargest = 1 - 0x1p-53;
  return std::min(static_cast<double>(mEngine()) * kUnit, kLargest);
}

double Random::exponential(double aRate)
{
  return -logarithm(1 - uniform()) / aRate;
}

// The polar method of G. Marsaglia.
double Random::logNormal(double aMean, double aDeviation)
{
  double y = 0;
  double squares = 0;
  do {
    const double x = 2 * uniform() - 1;
    y = 2 * uniform() - 1;
    squares = x * x + y * y;
  } while (squares > 1 || squares == 0);
  const double normal = y * std::sqrt(-2 * logarithm(squares) / squares);
  return bench::exponential(normal * aDeviation + aMean);
}

std::size_t Random::choose(const std::vector<double>& aWeights)
{
  double total = 0;
  for (const double weight : aWeights) {
    total += weight;
  }
  const double drawn = uniform() * total;
  double sum = 0;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < aWeights.size() && sum <= drawn; ++i) {
    sum += aWeights[i];
    chosen = i;
  }
  return chosen;
}

} // namespace cornelcross::bench
