// Simulates load shapes and failures in virtual time and compares placement
// policies: poplarsail-emulate [OPTION...]

#include <algorithm>
#include <exception>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "emulator/emulator.h"

namespace {

using namespace poplarsail::emulator;
using nlohmann::json;

constexpr int kExitUsage = 2;

struct Result {
  std::string scenario;
  std::string policy;
  Report report;
};

// One value of a report: a column of the table and a key of the JSON output.
struct Column {
  const char* title;
  const char* key;
  int decimals;
  double (*value)(const Report& report);
};

constexpr Column kColumns[] = {
    {"served", "served", 3, [](const Report& r) { return r.served; }},
    {"window", "worst_window", 3,
     [](const Report& r) { return r.worst_window; }},
    {"domain", "worst_domain", 3,
     [](const Report& r) { return r.worst_domain; }},
    {"kind", "worst_kind", 3, [](const Report& r) { return r.worst_kind; }},
    {"tries", "tries_a_request", 2,
     [](const Report& r) { return r.attempts_per_request; }},
    {"p99 ms", "p99_ms", 0, [](const Report& r) { return r.p99_ms; }},
    {"imbalance", "imbalance", 2, [](const Report& r) { return r.imbalance; }},
    {"goodput", "goodput", 2, [](const Report& r) { return r.goodput; }},
    {"crash ms", "last_flow_after_crash_ms", 0,
     [](const Report& r) { return r.last_flow_after_crash_ms; }},
};

void PrintTable(const std::vector<Result>& results) {
  fmt::print("{:<13} {:<15} {:>8}", "scenario", "placement", "requests");
  for (const Column& column : kColumns) {
    fmt::print(" {:>9}", column.title);
  }
  fmt::print("\n");
  for (const Result& result : results) {
    fmt::print("{:<13} {:<15} {:>8}", result.scenario, result.policy,
               result.report.requests);
    for (const Column& column : kColumns) {
      fmt::print(" {:>9.{}f}", column.value(result.report), column.decimals);
    }
    fmt::print("\n");
  }
}

void PrintJson(const std::vector<Result>& results) {
  json rows = json::array();
  for (const Result& result : results) {
    json row = {{"scenario", result.scenario},
                {"placement", result.policy},
                {"requests", result.report.requests},
                {"by_window", result.report.by_window}};
    for (const Column& column : kColumns) {
      row[column.key] = column.value(result.report);
    }
    rows.push_back(std::move(row));
  }
  fmt::print("{}\n", rows.dump(2));
}

// Writes one plot per scenario: the mean utility by window for each placement
// policy.
void WritePlots(const std::vector<Result>& results,
                const std::string& directory) {
  std::vector<std::string> scenarios;
  for (const Result& result : results) {
    if (scenarios.empty() || scenarios.back() != result.scenario) {
      scenarios.push_back(result.scenario);
    }
  }
  for (const std::string& scenario : scenarios) {
    std::vector<PlotLine> lines;
    for (const Result& result : results) {
      if (result.scenario == scenario) {
        lines.push_back({result.policy, result.report.by_window});
      }
    }
    const std::string path = directory + "/" + scenario + ".svg";
    std::ofstream file(path);
    file << DrawPlot(scenario + ": mean utility by window", lines,
                     std::chrono::duration<double>(kReportWindow).count());
    if (!file.flush()) {
      throw std::runtime_error(fmt::format("{} can't be written", path));
    }
  }
}

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

int Emulate(const cxxopts::ParseResult& arguments) {
  std::vector<Result> results;
  for (const Scenario& scenario : FilterByName(
           StandardScenarios(), arguments["scenario"].as<std::string>())) {
    for (const PlacementPolicy& policy :
         FilterByName(AllPlacementPolicies(),
                      arguments["placement"].as<std::string>())) {
      results.push_back(
          {scenario.name, policy.name,
           Run(scenario, policy.factory, arguments["seed"].as<uint64_t>())});
    }
  }
  if (arguments["output"].as<std::string>() == "json") {
    PrintJson(results);
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
