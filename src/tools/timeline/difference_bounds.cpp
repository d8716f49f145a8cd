#include "tools/timeline/difference_bounds.hpp"

#include <algorithm>
#include <limits>

namespace cornelcross::tools::timeline {

namespace {

constexpr std::int64_t kUnbounded = std::numeric_limits<std::int64_t>::max();

std::optional<std::int64_t> toOptional(std::int64_t aBound)
{
  return aBound == kUnbounded ? std::nullopt : std::optional(aBound);
}

} // namespace

DifferenceBounds::DifferenceBounds(std::size_t aVariables)
  : mSize(aVariables + 1), mBounds(mSize * mSize, kUnbounded)
{
  for (std::size_t i = 0; i < mSize; ++i) {
    at(i, i) = 0;
  }
}

void DifferenceBounds::add(std::size_t aFrom, std::size_t aTo, std::int64_t aBound)
{
  at(aFrom, aTo) = std::min(at(aFrom, aTo), aBound);
}

void DifferenceBounds::relaxThrough(std::size_t aMiddle)
{
  for (std::size_t from = 0; from < mSize; ++from) {
    const std::int64_t first = at(from, aMiddle);
    if (first == kUnbounded) {
      continue;
    }
    for (std::size_t to = 0; to < mSize; ++to) {
      const std::int64_t second = at(aMiddle, to);
      if (second != kUnbounded) {
        add(from, to, first + second);
      }
    }
  }
}

// Shortest paths solve difference constraints (Cormen et al., "Introduction to Algorithms",
// section 24.4); a negative cycle is a contradiction. Floyd's algorithm gives all pairs.
bool DifferenceBounds::close()
{
  for (std::size_t middle = 0; middle < mSize; ++middle) {
    relaxThrough(middle);
    if (at(middle, middle) < 0) {
      return false;
    }
  }
  for (std::size_t i = 0; i < mSize; ++i) {
    if (at(i, i) < 0) {
      return false;
    }
  }
  return true;
}

void DifferenceBounds::fix(std::size_t aVariable, std::int64_t aValue)
{
  add(0, aVariable, aValue);
  add(aVariable, 0, -aValue);
  relaxThrough(aVariable);
  relaxThrough(0);
}

std::optional<std::int64_t> DifferenceBounds::highest(std::size_t aVariable) const
{
  return toOptional(at(0, aVariable));
}

std::optional<std::int64_t> DifferenceBounds::lowest(std::size_t aVariable) const
{
  const auto bound = toOptional(at(aVariable, 0));
  return bound ? std::optional(-*bound) : std::nullopt;
}

} // namespace cornelcross::tools::timeline
