#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cornelcross::tools::timeline {

/// @brief System of difference constraints x[b] - x[a] <= bound, closed under implication.
/// The variable 0 stands for zero.
class DifferenceBounds
{
public:
  /// @param aVariables number of variables besides 0
  explicit DifferenceBounds(std::size_t aVariables);

  /// @brief Adds x[aTo] - x[aFrom] <= aBound; close() must follow.
  void add(std::size_t aFrom, std::size_t aTo, std::int64_t aBound);

  /// @brief Computes every implied bound. False if the constraints contradict each other. O(n^3).
  bool close();

  /// @brief Sets x[aVariable] = aValue in a closed system, which stays closed. The value must lie
  /// within the bounds. O(n^2).
  void fix(std::size_t aVariable, std::int64_t aValue);

  /// @brief Highest value that x[aVariable] may have.
  std::optional<std::int64_t> highest(std::size_t aVariable) const;

  /// @brief Lowest value that x[aVariable] may have.
  std::optional<std::int64_t> lowest(std::size_t aVariable) const;

private:
  std::int64_t& at(std::size_t aFrom, std::size_t aTo) { return mBounds[aFrom * mSize + aTo]; }
  std::int64_t at(std::size_t aFrom, std::size_t aTo) const { return mBounds[aFrom * mSize + aTo]; }
  void relaxThrough(std::size_t aMiddle);

  std::size_t mSize;
  std::vector<std::int64_t> mBounds;
};

} // namespace cornelcross::tools::timeline
