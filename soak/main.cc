#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "soak/scenario.h"

namespace {

using nlohmann::json;
using poplarsail::soak::Scenario;
using poplarsail::soak::ScenarioOptions;
using poplarsail::soak::ScenarioResult;

void PrintStartTimes(uint64_t seed,
                     std::vector<std::chrono::milliseconds> times) {
  if (times.empty()) {
    return;
  }
  std::sort(times.begin(), times.end());
  fmt::print(stderr, "seed {}: {} starts, ready after {} ms (p50), {} (max)\n",
             seed, times.size(), times[times.size() / 2].count(),
             times.back().count());
}

// Runs one seed in its own directory, which is kept if there are violations.
ScenarioResult RunSeed(const cxxopts::ParseResult& arguments, uint64_t seed) {
  const auto logs = arguments["logs"].as<std::string>();
  ScenarioOptions options;
  options.program = arguments["program"].as<std::string>();
  options.directory = fmt::format("{}/seed-{}", logs, seed);
  options.seed = seed;
  options.network = arguments["network"].as<int>();
  options.hosts_in_domains =
      arguments.count("domains") > 0
          ? arguments["domains"].as<std::vector<int>>()
          : std::vector<int>(3, arguments["hosts"].as<int>());
  const auto upstreams = arguments["upstreams"].as<std::vector<int>>();
  options.tally_upstreams = upstreams.at(0);
  options.archive_upstreams = upstreams.at(1);
  options.flows_per_client = arguments["flows"].as<int>();
  options.processor_share = arguments["share"].as<double>();
  options.fault_time = std::chrono::seconds(arguments["seconds"].as<int>());
  options.is_planned_only = arguments.count("planned") > 0;
  options.injected_defect = arguments["plant"].as<std::string>();
  std::filesystem::create_directories(options.directory);
  const ScenarioResult result = Scenario(options).Run();
  fmt::print(
      stderr,
      "seed {}: {} faults, {} requests, {} served, {} failed, {} resets\n",
      seed, result.faults, result.counts.requests, result.counts.served,
      result.counts.failed, result.counts.resets);
  PrintStartTimes(seed, result.start_times);
  for (const auto& [invariant, details] : result.violations) {
    for (const std::string& detail : details) {
      fmt::print(stderr, "seed {}: {}: {}\n", seed, invariant, detail);
    }
  }
  if (result.violations.empty()) {
    std::filesystem::remove_all(options.directory);
  }
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "poplarsail-soak",
      "Runs daemons under random faults and checks invariants");
  options.add_options()("program", "The poplarsail program",
                        cxxopts::value<std::string>())(
      "seeds", "Number of seeds",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "from", "First seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "seconds", "Seconds of fault injection in each run",
      cxxopts::value<int>()->default_value("12"))(
      "hosts", "Entry hosts in each failure domain",
      cxxopts::value<int>()->default_value("2"))(
      "domains",
      "Entry hosts of each failure domain, separated by commas; overrides "
      "--hosts",
      cxxopts::value<std::vector<int>>())(
      "upstreams",
      "Upstreams of the two services; 0,0 for 2 and 1 in each failure domain",
      cxxopts::value<std::vector<int>>()->default_value("0,0"))(
      "flows", "Open flows of each client",
      cxxopts::value<int>()->default_value("12"))(
      "share", "Share of a core that each daemon gets; 0 for no limit",
      cxxopts::value<double>()->default_value("0"))(
      "planned",
      "Only planned work: restarts and changes of what is "
      "configured")(
      "logs", "Directory for settings and logs",
      cxxopts::value<std::string>()->default_value("/tmp/poplarsail-soak"))(
      "network", "Second octet of all loopback addresses",
      cxxopts::value<int>()->default_value("10"))(
      "plant", "Inject a defect that the check of this name has to detect",
      cxxopts::value<std::string>()->default_value(""))(
      "json", "Print the result as one line of JSON")("h,help",
                                                      "Show this help");
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("program") == 0) {
      fmt::print("{}", options.help());
      return arguments.count("help") > 0 ? EXIT_SUCCESS : 2;
    }
    const auto from = arguments["from"].as<uint64_t>();
    const auto count = arguments["seeds"].as<uint64_t>();
    json failed = json::array();
    size_t violations = 0;
    for (uint64_t seed = from; seed < from + count; ++seed) {
      const ScenarioResult result = RunSeed(arguments, seed);
      violations += result.violations.size();
      if (!result.violations.empty()) {
        failed.push_back({{"seed", seed}, {"violations", result.violations}});
      }
    }
    if (arguments.count("json") > 0) {
      const json summary = {
          {"seeds", count}, {"violations", violations}, {"failed", failed}};
      fmt::print("{}\n", summary.dump());
    }
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return EXIT_FAILURE;
  }
}
