#include "bench/control/linear_fit.hpp"

#include <cmath>
#include <cstddef>

namespace cornelcross::bench {

LinearFit LinearFit::of(const std::vector<double>& aX, const std::vector<double>& aY)
{
  const auto count = static_cast<double>(aX.size());
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  for (std::size_t i = 0; i < aX.size(); ++i) {
    sumX += aX[i];
    sumY += aY[i];
    sumXx += aX[i] * aX[i];
    sumXy += aX[i] * aY[i];
  }
  LinearFit fit;
  fit.mSlope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
  fit.mIntercept = (sumY - fit.mSlope * sumX) / count;
  double squares = 0;
  for (std::size_t i = 0; i < aX.size(); ++i) {
    const double distance = aY[i] - fit.mIntercept - fit.mSlope * aX[i];
    squares += distance * distance;
  }
  fit.mResidual = std::sqrt(squares / count);
  return fit;
}

} // namespace cornelcross::bench
