#pragma once

#include <vector>

namespace cornelcross::bench {

/// @brief Least-squares line through points.
struct LinearFit
{
  double mIntercept = 0;
  double mSlope = 0;
  double mResidual = 0; ///< root of the mean square distance from the line

  /// @brief Fits aY against aX, which have the same size of two or more.
  static LinearFit of(const std::vector<double>& aX, const std::vector<double>& aY);
};

} // namespace cornelcross::bench
