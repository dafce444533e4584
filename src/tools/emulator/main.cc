// Simulates load shapes and failures in virtual time and compares placement
// policies: poplarsail-emulate [OPTION...]

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "emulator/emulator.h"
#include "emulator/report_output.h"

namespace {

using namespace poplarsail::emulator;

constexpr int kExitUsage = 2;

template <typename Item>
std::vector<Item> FilterByName(std::vector<Item> items,
                               const std::string& name) {
  if (name.empty()) {
    return items;
  }
  std::erase_if(items, [&name](const Item& item) { return item.name != name; });
  if (items.empty()) {
    throw std::invalid_argument(
        fmt::format("Unknown scenario or placement \"{}\"", name));
  }
  return items;
}

std::vector<Scenario> ScenariosOf(const std::string& set) {
  if (set == "standard") {
    return StandardScenarios();
  }
  if (set == "load") {
    return LoadScenarios();
  }
  if (set == "mixed") {
    return MixedScenarios();
  }
  throw std::invalid_argument(
      fmt::format("Unknown set of scenarios \"{}\"", set));
}

int Emulate(const cxxopts::ParseResult& arguments) {
  std::vector<Result> results;
  const auto set = arguments["set"].as<std::string>();
  const bool is_load_set = set == "load";
  const bool has_load_table = set != "standard";
  for (const Scenario& scenario : FilterByName(
           ScenariosOf(set), arguments["scenario"].as<std::string>())) {
    for (const PlacementPolicy& policy : FilterByName(
             is_load_set ? LoadPlacementPolicies() : AllPlacementPolicies(),
             arguments["placement"].as<std::string>())) {
      results.push_back({scenario.name, policy.name,
                         Run(scenario, policy.factory,
                             arguments["seed"].as<uint64_t>(), policy.mode)});
    }
  }
  if (arguments["output"].as<std::string>() == "json") {
    PrintJson(results);
  } else if (has_load_table) {
    PrintLoadTable(results);
  } else {
    PrintTable(results);
  }
  const auto plots = arguments["plots"].as<std::string>();
  if (!plots.empty()) {
    WritePlots(results, plots);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    cxxopts::Options options("poplarsail-emulate",
                             "Simulates load shapes and compares placements");
    options.add_options()("h,help", "Show this help")(
        "set", "Scenarios and policies to run: standard, load or mixed",
        cxxopts::value<std::string>()->default_value("standard"))(
        "scenario", "Run only this scenario",
        cxxopts::value<std::string>()->default_value(""))(
        "placement", "Run only this placement policy",
        cxxopts::value<std::string>()->default_value(""))(
        "seed", "Random seed", cxxopts::value<uint64_t>()->default_value("1"))(
        "plots", "Folder for plots (one SVG file per scenario)",
        cxxopts::value<std::string>()->default_value(""))(
        "output", "Output format: table or json",
        cxxopts::value<std::string>()->default_value("table"));
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      fmt::print(
          "{}\nExample: poplarsail-emulate --scenario burst-3 --plots .\n",
          options.help());
      return 0;
    }
    return Emulate(arguments);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
}
