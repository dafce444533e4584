#ifndef EMULATOR_PLOT_H_
#define EMULATOR_PLOT_H_

#include <string>
#include <vector>

namespace poplarsail::emulator {

// One line of a plot with one point per window.
struct PlotLine {
  std::string name;
  std::vector<double> values;
};

// Returns an SVG plot of values between 0 and 1 over time.
std::string DrawPlot(const std::string& title,
                     const std::vector<PlotLine>& lines,
                     double seconds_per_point);

}  // namespace poplarsail::emulator

#endif  // EMULATOR_PLOT_H_
