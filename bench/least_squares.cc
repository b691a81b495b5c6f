#include "bench/least_squares.h"

#include <cmath>

namespace rosemarycove::bench {

Line FitLine(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& point : points) {
    mean_x += point.x / count;
    mean_y += point.y / count;
  }
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Point& point : points) {
    sum_xx += (point.x - mean_x) * (point.x - mean_x);
    sum_xy += (point.x - mean_x) * (point.y - mean_y);
  }
  Line line;
  line.slope = sum_xy / sum_xx;
  line.intercept = mean_y - line.slope * mean_x;
  double squared_residuals = 0;
  for (const Point& point : points) {
    const double residual = point.y - line.At(point.x);
    squared_residuals += residual * residual;
  }
  line.slope_error = std::sqrt(squared_residuals / (count - 2) / sum_xx);
  return line;
}

}  // namespace rosemarycove::bench
