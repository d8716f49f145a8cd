#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cornelcross::tools::timeline {

/// @brief System of difference constraints x[b] - x[a] <= bound with all implied bounds.
/// The variable x[0] is 0.
class DifferenceBounds
{
public:
  /// @param aVariables number of variables besides x[0]
  explicit DifferenceBounds(std::size_t aVariables);

  /// @brief Adds x[aTo] - x[aFrom] <= aBound. Requires a later call of computeClosure().
  void add(std::size_t aFrom, std::size_t aTo, std::int64_t aBound);

  /// @brief Computes all implied bounds.
  /// @return false if the constraints contradict each other
  /// @note O(n^3) for n variables
  bool computeClosure();

  /// @brief Adds x[aVariable] = aValue and updates all implied bounds. Requires an earlier call of
  /// computeClosure() and a value within the bounds.
  /// @note O(n^2) for n variables
  void fixValue(std::size_t aVariable, std::int64_t aValue);

  /// @brief Highest possible value of x[aVariable]; empty if unbounded.
  std::optional<std::int64_t> highest(std::size_t aVariable) const;

  /// @brief Lowest possible value of x[aVariable]; empty if unbounded.
  std::optional<std::int64_t> lowest(std::size_t aVariable) const;

private:
  std::int64_t& at(std::size_t aFrom, std::size_t aTo) { return mBounds[aFrom * mSize + aTo]; }
  std::int64_t at(std::size_t aFrom, std::size_t aTo) const { return mBounds[aFrom * mSize + aTo]; }
  /// Tightens each bound by the path through the variable aVia.
  void relaxThrough(std::size_t aVia);

  std::size_t mSize;
  std::vector<std::int64_t> mBounds;
};

} // namespace cornelcross::tools::timeline
