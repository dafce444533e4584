#include "emulator/report_output.h"

#include <fstream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "emulator/plot.h"

namespace poplarsail::emulator {

namespace {

using nlohmann::json;

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

void PrintKind(const Result& result, const KindReport& kind) {
  fmt::print("{:<16} {:<12} {:<6} {:>9.4f} {:>9.0f} {:>9.0f} {:>9.4f} {:>9.4f}",
             result.scenario, result.policy, kind.name, kind.in_target,
             kind.p50_ms, kind.p99_ms, kind.refused, kind.failed);
}

json ToJson(const KindReport& kind) {
  return {{"name", kind.name},       {"in_target", kind.in_target},
          {"p50_ms", kind.p50_ms},   {"p99_ms", kind.p99_ms},
          {"refused", kind.refused}, {"failed", kind.failed}};
}

json ToJson(const LoadReport& load) {
  json kinds = json::array();
  for (const KindReport& kind : load.kinds) {
    kinds.push_back(ToJson(kind));
  }
  return {{"kinds", std::move(kinds)},
          {"all", ToJson(load.all)},
          {"sheds_per_arrival", load.sheds_per_arrival},
          {"goodput", load.goodput},
          {"goodput_in_target", load.goodput_in_target},
          {"busiest_over_mean", load.busiest_over_mean},
          {"refusal_p99_ms", load.refusal_p99_ms}};
}

}  // namespace

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

void PrintLoadTable(const std::vector<Result>& results) {
  fmt::print("{:<16} {:<12} {:<6}", "scenario", "placement", "kind");
  for (const char* title :
       {"in target", "p50 ms", "p99 ms", "refused", "failed", "sheds",
        "goodput", "in time", "busiest", "told ms", "worst 2 s"}) {
    fmt::print(" {:>9}", title);
  }
  fmt::print("\n");
  for (const Result& result : results) {
    const LoadReport& load = result.report.load;
    PrintKind(result, load.all);
    fmt::print(" {:>9.4f} {:>9.3f} {:>9.3f} {:>9.2f} {:>9.0f} {:>9.3f}\n",
               load.sheds_per_arrival, load.goodput, load.goodput_in_target,
               load.busiest_over_mean, load.refusal_p99_ms,
               result.report.worst_window);
    for (const KindReport& kind : load.kinds) {
      PrintKind(result, kind);
      fmt::print("\n");
    }
  }
}

void PrintJson(const std::vector<Result>& results) {
  json rows = json::array();
  for (const Result& result : results) {
    json row = {{"scenario", result.scenario},
                {"placement", result.policy},
                {"requests", result.report.requests},
                {"by_window", result.report.by_window},
                {"load", ToJson(result.report.load)}};
    for (const Column& column : kColumns) {
      row[column.key] = column.value(result.report);
    }
    rows.push_back(std::move(row));
  }
  fmt::print("{}\n", rows.dump(2));
}

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

}  // namespace poplarsail::emulator
