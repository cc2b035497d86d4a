#ifndef BENCH_LINE_FIT_H_
#define BENCH_LINE_FIT_H_

#include <algorithm>
#include <cmath>
#include <span>
#include <utility>

namespace samphire {

// A straight line through points by least squares, and how far the points lie
// from it at most, as a share of the largest value.
struct line_fit {
  double slope = 0;
  double start = 0;
  double worst_residual = 0;
};

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
  fit.start = (y_sum - fit.slope * x_sum) / count;
  for (const auto& [x, y] : points) {
    const auto off = std::abs(y - fit.start - fit.slope * x);
    fit.worst_residual = std::max(fit.worst_residual, off / largest);
  }
  return fit;
}

}  // namespace samphire

#endif  // BENCH_LINE_FIT_H_
