#ifndef BENCH_LINE_FIT_H_
#define BENCH_LINE_FIT_H_

#include <algorithm>
#include <cmath>
#include <span>
#include <utility>

namespace samphire {

// Result of a linear least-squares fit y = intercept + slope * x.
struct line_fit {
  double slope = 0;
  double intercept = 0;
  // The largest distance of a point from the line, as a fraction of the largest
  // absolute y value.
  double max_relative_residual = 0;
};

// Fits a line to (x, y) points, of which at least two must differ in x.
inline line_fit FitLine(std::span<const std::pair<double, double>> points) {
  double x_sum = 0;
  double y_sum = 0;
  double xx_sum = 0;
  double xy_sum = 0;
  double largest = 0;
  const auto count = static_cast<double>(points.size());
  for (const auto& [x, y] : points) {
    x_sum += x;
    y_sum += y;
    xx_sum += x * x;
    xy_sum += x * y;
    largest = std::max(largest, std::abs(y));
  }
  line_fit fit;
  fit.slope =
      (count * xy_sum - x_sum * y_sum) / (count * xx_sum - x_sum * x_sum);
  fit.intercept = (y_sum - fit.slope * x_sum) / count;
  for (const auto& [x, y] : points) {
    const auto off = std::abs(y - fit.intercept - fit.slope * x);
    fit.max_relative_residual =
        std::max(fit.max_relative_residual, off / largest);
  }
  return fit;
}

}  // namespace samphire

#endif  // BENCH_LINE_FIT_H_
