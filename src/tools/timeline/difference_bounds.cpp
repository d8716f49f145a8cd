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

void DifferenceBounds::relaxThrough(std::size_t aVia)
{
  for (std::size_t from = 0; from < mSize; ++from) {
    const std::int64_t first = at(from, aVia);
    if (first == kUnbounded) {
      continue;
    }
    for (std::size_t to = 0; to < mSize; ++to) {
      const std::int64_t second = at(aVia, to);
      if (second != kUnbounded) {
        add(from, to, first + second);
      }
    }
  }
}

// Shortest paths solve difference constraints (Cormen et al., "Introduction to Algorithms",
// section 24.4). A negative cycle is a contradiction. The Floyd-Warshall algorithm computes the
// shortest paths between all pairs.
bool DifferenceBounds::computeClosure()
{
  for (std::size_t via = 0; via < mSize; ++via) {
    relaxThrough(via);
    if (at(via, via) < 0) {
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

void DifferenceBounds::fixValue(std::size_t aVariable, std::int64_t aValue)
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
