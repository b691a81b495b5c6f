// Linear regression through measured points.
#pragma once

#include <vector>

namespace rosemarycove::bench {

// A measured point.
struct Point {
  double x = 0;
  double y = 0;
};

// y = intercept + slope * x, with the standard error of the slope.
struct Line {
  double intercept = 0;
  double slope = 0;
  double slope_error = 0;

  [[nodiscard]] double At(double x) const {
    return this->intercept + this->slope * x;
  }
};

// Fits a line by least squares. Needs at least three points, and not all with
// the same x.
Line FitLine(const std::vector<Point>& points);

}  // namespace rosemarycove::bench
