#include "measure/packet_report.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "measure/packet_cases.h"

namespace poplarsail::measure {

namespace {

constexpr SteeringStrategy kProductionStrategy = SteeringStrategy::kReplicas;

// One strategy simulated in one case.
struct SimulationRun {
  SteeringStrategy strategy = SteeringStrategy::kLocalTable;
  const PacketCase* packet_case = nullptr;
  FleetResult result;
};

std::vector<SimulationRun> SelectRuns(const PacketReportOptions& options) {
  std::vector<SimulationRun> runs;
  for (const SteeringStrategy strategy : kAllStrategies) {
    if (!options.strategy.empty() && options.strategy != ToString(strategy)) {
      continue;
    }
    for (const PacketCase& item : PacketCases()) {
      if (options.case_name.empty() || options.case_name == item.name) {
        runs.push_back({strategy, &item, {}});
      }
    }
  }
  return runs;
}

void ExecuteRun(SimulationRun* run, const PacketReportOptions& options) {
  FleetOptions fleet;
  fleet.seed = options.seed;
  fleet.length_ms = run->packet_case->length_ms;
  fleet.open_flows = static_cast<uint32_t>(fleet.open_flows * options.scale);
  fleet.new_flows_per_second =
      static_cast<uint32_t>(fleet.new_flows_per_second * options.scale);
  run->result =
      FleetSimulation(run->strategy, fleet, run->packet_case->events).Run();
}

void ExecuteAllRuns(std::vector<SimulationRun>* runs,
                    const PacketReportOptions& options) {
  // Long runs first, to avoid idle processors at the end.
  std::vector<SimulationRun*> order;
  for (SimulationRun& run : *runs) {
    order.push_back(&run);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const SimulationRun* a, const SimulationRun* b) {
                     return a->packet_case->length_ms >
                            b->packet_case->length_ms;
                   });
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> workers;
  for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
    workers.emplace_back([&] {
      for (size_t index = next++; index < order.size(); index = next++) {
        ExecuteRun(order[index], options);
      }
    });
  }
}

void PrintRow(const SimulationRun& run) {
  const FleetResult& result = run.result;
  const double changes = std::max(1, run.packet_case->planned_changes);
  fmt::print(
      "{:<12} {:<20} {:<8} {:>8} {:>8} {:>8.1f} {:>8} {:>7.3f} {:>7.1f} "
      "{:>8.0f} {:>8.0f} {:>6.3f} {:>6.3f} {:>7}\n",
      ToString(run.strategy), run.packet_case->name,
      run.packet_case->is_planned ? "planned" : "failure", result.flows,
      result.broken_flows, static_cast<double>(result.broken_flows) / changes,
      result.abandoned_flows,
      static_cast<double>(result.relays) / static_cast<double>(result.packets),
      result.state_bytes_per_flow, result.control_bytes_mean,
      result.control_bytes_worst, result.imbalance_mean, result.imbalance_p99,
      result.last_new_flow_ms);
}

void PrintBrokenFlows(const FleetResult& result) {
  for (const BrokenFlow& item : result.broken) {
    fmt::print(
        "  flow {} bucket {} opened at {} ms, broken at {} ms: owner {}, "
        "reached {} by {}\n",
        item.flow, item.bucket, item.opened_at_ms, item.at_ms, item.owner,
        item.reached, item.path);
  }
}

}  // namespace

bool ReportPackets(const PacketReportOptions& options) {
  std::vector<SimulationRun> runs = SelectRuns(options);
  ExecuteAllRuns(&runs, options);
  fmt::print(
      "{:<12} {:<20} {:<8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} "
      "{:>6} {:>6} {:>7}\n",
      "way", "case", "kind", "flows", "broken", "/change", "given-up", "relays",
      "B/flow", "ctl B/s", "worst", "imbal", "p99", "last ms");
  uint64_t broken = 0;
  uint64_t worst = 0;
  std::string worst_case = "none";
  double control = 0;
  double state = 0;
  double imbalance = 0;
  uint64_t broken_by_failures = 0;
  for (const SimulationRun& run : runs) {
    PrintRow(run);
    if (options.prints_broken_flows) {
      PrintBrokenFlows(run.result);
    }
    if (run.strategy != kProductionStrategy) {
      continue;
    }
    const FleetResult& result = run.result;
    if (!run.packet_case->is_planned) {
      broken_by_failures += result.broken_flows;
      continue;
    }
    broken += result.broken_flows;
    if (result.broken_flows > worst) {
      worst = result.broken_flows;
      worst_case = run.packet_case->name;
    }
    control = std::max(control, result.control_bytes_worst);
    state = std::max(state, result.state_bytes_per_flow);
    imbalance = std::max(imbalance, result.imbalance_mean);
  }
  const nlohmann::json summary = {{"way", ToString(kProductionStrategy)},
                                  {"broken_flows", broken},
                                  {"broken_by_failures", broken_by_failures},
                                  {"worst_case", worst_case},
                                  {"control_bytes_per_second", control},
                                  {"state_bytes_per_flow", state},
                                  {"imbalance", imbalance},
                                  {"seed", options.seed}};
  fmt::print("{}\n", summary.dump());
  return broken == 0;
}

}  // namespace poplarsail::measure
