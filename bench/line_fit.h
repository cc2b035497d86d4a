#ifndef LINE_FIT_H_
#define LINE_FIT_H_

#include <utility>
#include <vector>

namespace samphire {

// The straight line through points by least squares.
struct line_fit {
  double intercept = 0;
  double slope = 0;

  explicit line_fit(const std::vector<std::pair<double, double>>& points) {
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto& [at, value] : points) {
      x += at;
      y += value;
      xx += at * at;
      xy += at * value;
    }
    const auto n = static_cast<double>(points.size());
    slope = (n * xy - x * y) / (n * xx - x * x);
    intercept = (y - slope * x) / n;
  }
};

}  // namespace samphire

#endif  // LINE_FIT_H_
