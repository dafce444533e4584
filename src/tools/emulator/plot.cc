#include "emulator/plot.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <fmt/format.h>

namespace poplarsail::emulator {

namespace {

// All sizes are in pixels.
constexpr double kWidth = 720;
constexpr double kHeight = 320;
constexpr double kLeft = 50;
constexpr double kRight = 150;
constexpr double kTop = 40;
constexpr double kBottom = 40;
constexpr int kGridLines = 5;
constexpr std::array<std::string_view, 6> kColours = {
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#7f7f7f"};

double ToY(double value) {
  return kTop + (1 - std::clamp(value, 0.0, 1.0)) * (kHeight - kTop - kBottom);
}

double ToX(size_t point, size_t points) {
  const double span = kWidth - kLeft - kRight;
  return points < 2 ? kLeft
                    : kLeft + span * static_cast<double>(point) /
                                  static_cast<double>(points - 1);
}

std::string TextElement(double x, double y, const std::string& text) {
  return fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\">{}</text>\n", x, y, text);
}

std::string DrawGrid(size_t points, double seconds_per_point) {
  std::string svg;
  for (int i = 0; i <= kGridLines; ++i) {
    const double value = static_cast<double>(i) / kGridLines;
    svg += fmt::format(
        "<line x1=\"{:.0f}\" y1=\"{:.1f}\" x2=\"{:.0f}\" y2=\"{:.1f}\" "
        "stroke=\"#ddd\"/>\n",
        kLeft, ToY(value), kWidth - kRight, ToY(value));
    svg +=
        TextElement(kLeft - 30, ToY(value) + 4, fmt::format("{:.1f}", value));
    const auto point = static_cast<size_t>(
        value * static_cast<double>(points == 0 ? 0 : points - 1));
    svg += TextElement(ToX(point, points), kHeight - kBottom + 20,
                       fmt::format("{:.0f} s", static_cast<double>(point) *
                                                   seconds_per_point));
  }
  return svg;
}

}  // namespace

std::string DrawPlot(const std::string& title,
                     const std::vector<PlotLine>& lines,
                     double seconds_per_point) {
  size_t points = 0;
  for (const PlotLine& line : lines) {
    points = std::max(points, line.values.size());
  }
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" "
      "height=\"{:.0f}\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
      kWidth, kHeight);
  svg += TextElement(kLeft, kTop / 2, title);
  svg += DrawGrid(points, seconds_per_point);
  for (size_t i = 0; i < lines.size(); ++i) {
    const std::string_view colour = kColours[i % kColours.size()];
    std::string path;
    for (size_t point = 0; point < lines[i].values.size(); ++point) {
      path += fmt::format("{:.1f},{:.1f} ", ToX(point, points),
                          ToY(lines[i].values[point]));
    }
    svg += fmt::format(
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" "
        "stroke-width=\"2\"/>\n",
        path, colour);
    const double y = kTop + 20 * static_cast<double>(i);
    svg += fmt::format("<g fill=\"{}\">{}</g>\n", colour,
                       TextElement(kWidth - kRight + 10, y, lines[i].name));
  }
  return svg + "</svg>\n";
}

}  // namespace poplarsail::emulator
