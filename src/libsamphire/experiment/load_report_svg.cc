#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "experiment/load_report.h"

namespace samphire {

namespace {

// Layout in SVG user units (pixels): size of a panel, offset of the first panel
// from the left and top edges, vertical space between the panels.
constexpr double kWidth = 800;
constexpr double kPanelHeight = 220;
constexpr double kLeft = 70;
constexpr double kTop = 30;
constexpr double kGap = 60;

// One curve of a panel, with one value for each second of the run.
struct curve {
  std::string name;
  std::string color;
  std::vector<double> values{};
};

// Returns the largest value of all curves, but at least 1, which keeps the
// scale of an empty panel finite.
double Highest(const std::vector<curve>& curves) {
  double highest = 1;
  for (const auto& c : curves) {
    for (const double value : c.values)
      highest = std::max(highest, value);
  }
  return highest;
}

std::string Polyline(const curve& c, double top, double highest) {
  std::string points;
  const double step =
      kWidth / std::max<double>(1, static_cast<double>(c.values.size()) - 1);
  for (std::size_t i = 0; i < c.values.size(); ++i) {
    points +=
        fmt::format("{:.1f},{:.1f} ", kLeft + step * static_cast<double>(i),
                    top + kPanelHeight * (1 - c.values[i] / highest));
  }
  return fmt::format(
      R"(<polyline fill="none" stroke="{}" stroke-width="1.5" points="{}"/>)"
      "\n",
      c.color, points);
}

// Draws a framed panel with its title, the scale from 0 to the largest value,
// the curves and a legend.
std::string Panel(const std::string& title,
                  const std::vector<curve>& curves,
                  double top) {
  const double highest = Highest(curves);
  std::string svg = fmt::format(
      R"(<text x="{}" y="{}">{}</text><rect x="{}" y="{}" width="{}" )"
      R"(height="{}" fill="none" stroke="#999"/>)"
      R"(<text x="5" y="{}">{:.0f}</text><text x="5" y="{}">0</text>)"
      "\n",
      kLeft, top - 8, title, kLeft, top, kWidth, kPanelHeight, top + 10,
      highest, top + kPanelHeight);
  double legend = kLeft + 300;
  for (const auto& c : curves) {
    svg += Polyline(c, top, highest);
    svg += fmt::format(R"(<text x="{}" y="{}" fill="{}">{}</text>)"
                       "\n",
                       legend, top - 8, c.color, c.name);
    legend += 100;
  }
  return svg;
}

template <typename F>
curve CurveOf(const load_report& report,
              std::string name,
              std::string color,
              F value) {
  curve c{.name = std::move(name), .color = std::move(color)};
  for (const auto& second : report.seconds)
    c.values.push_back(value(second));
  return c;
}

}  // namespace

std::string ReportAsSvg(const load_report& report) {
  const auto latency =
      Panel("latency of complete answers, ms",
            {CurveOf(report, "p50", "#1b7837",
                     [](const auto& second) { return second.latency.p50_ms; }),
             CurveOf(report, "p99", "#b2182b",
                     [](const auto& second) { return second.latency.p99_ms; })},
            kTop);
  const auto rates =
      Panel("requests per second",
            {CurveOf(report, "sent", "#666666",
                     [](const auto& second) {
                       return static_cast<double>(second.requests);
                     }),
             CurveOf(report, "good", "#2166ac",
                     [](const auto& second) {
                       return static_cast<double>(second.good);
                     })},
            kTop + kPanelHeight + kGap);
  return fmt::format(
      R"(<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}" )"
      R"(font-family="sans-serif" font-size="12">)"
      "\n{}{}</svg>\n",
      kLeft + kWidth + 20, 2 * kPanelHeight + kGap + kTop + 20, latency, rates);
}

}  // namespace samphire
