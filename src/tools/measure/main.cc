// Simulates steering decisions in virtual time: poplarsail-measure packets.

#include <exception>
#include <string>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "measure/packet_report.h"

namespace {

constexpr int kExitFlowsBroken = 1;
constexpr int kExitUsage = 2;

int MeasurePackets(int argc, char** argv) {
  cxxopts::Options options("poplarsail-measure packets",
                           "Compares packet steering strategies");
  options.add_options()("h,help", "Show this help")(
      "way", "Run only this strategy",
      cxxopts::value<std::string>()->default_value(""))(
      "case", "Run only this case",
      cxxopts::value<std::string>()->default_value(""))(
      "trace", "Print details of each broken flow")(
      "seed", "Random seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "scale", "Multiplier for the load",
      cxxopts::value<double>()->default_value("1"));
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    fmt::print("{}", options.help());
    return 0;
  }
  const bool is_within_bounds = poplarsail::measure::ReportPackets(
      {arguments["way"].as<std::string>(), arguments["case"].as<std::string>(),
       arguments["seed"].as<uint64_t>(), arguments["scale"].as<double>(),
       arguments.count("trace") > 0});
  return is_within_bounds ? 0 : kExitFlowsBroken;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    if (argc >= 2 && std::string(argv[1]) == "packets") {
      return MeasurePackets(argc - 1, argv + 1);
    }
    fmt::print(stderr, "Usage: poplarsail-measure packets [OPTION...]\n");
    return kExitUsage;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
}
