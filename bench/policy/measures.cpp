#include "bench/policy/measures.hpp"

#include <algorithm>

namespace cornelcross::bench {

double quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  const auto nth = aValues.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(aValues.begin(), nth, aValues.end());
  return *nth;
}

} // namespace cornelcross::bench
