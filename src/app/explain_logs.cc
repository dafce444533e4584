#include "app/explain_logs.h"

#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "app/commands.h"
#include "explain/explain.h"
#include "model/model.h"

namespace poplarsail::app {

namespace {

// Returns nullopt if the option was not given.
std::optional<explain::LogTime> ParseTime(const cxxopts::ParseResult& arguments,
                                          const std::string& option) {
  const auto text = arguments[option].as<std::string>();
  if (text.empty()) {
    return std::nullopt;
  }
  const auto time = explain::ParseLogTime(text);
  if (!time) {
    throw UsageError(fmt::format(
        "--{}: \"{}\" is not a time in the format 2026-12-04T06:12:16.525Z",
        option, text));
  }
  return time;
}

explain::DiagnosisQuery ParseQuery(const cxxopts::ParseResult& arguments) {
  explain::DiagnosisQuery query;
  query.flow = arguments["flow"].as<std::string>();
  query.upstream = arguments["upstream"].as<std::string>();
  if (query.flow.empty() == query.upstream.empty()) {
    throw UsageError(
        "Specify --flow IP:PORT, --upstream ID or --losses, one of them.");
  }
  if (!query.flow.empty() && !model::ParseIpv4Endpoint(query.flow)) {
    throw UsageError(fmt::format(
        "--flow: \"{}\" is not an IPv4 address with a port", query.flow));
  }
  query.at = ParseTime(arguments, "at");
  return query;
}

explain::LossQuery ParseLossQuery(const cxxopts::ParseResult& arguments) {
  const bool has_other_query = !arguments["flow"].as<std::string>().empty() ||
                               !arguments["upstream"].as<std::string>().empty();
  if (has_other_query) {
    throw UsageError("--losses goes without --flow and --upstream.");
  }
  explain::LossQuery query{ParseTime(arguments, "from"),
                           ParseTime(arguments, "to")};
  if (query.from && query.to && *query.from >= *query.to) {
    throw UsageError("--from must be before --to.");
  }
  return query;
}

std::vector<explain::LogFile> ReadLogs(const cxxopts::ParseResult& arguments) {
  std::vector<explain::LogFile> files;
  for (const std::string& path :
       arguments["log"].as<std::vector<std::string>>()) {
    try {
      files.push_back(explain::ReadLogFile(path));
    } catch (const explain::LogFileError& error) {
      throw UsageError(error.what());
    }
  }
  return files;
}

std::string FormatFields(const explain::LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    text += fmt::format(" {}={}", key, value);
  }
  return text;
}

void PrintTable(const explain::Diagnosis& diagnosis) {
  for (const explain::TimelineEntry& entry : diagnosis.timeline) {
    fmt::print("{}  {:<20} {}{}\n", explain::FormatLogTime(entry.time),
               entry.host, entry.line.message, FormatFields(entry.line));
  }
  for (const std::string& clock : diagnosis.clock_corrections) {
    fmt::print("clock: {}\n", clock);
  }
  fmt::print("cause: {}\n", diagnosis.summary);
}

void PrintJson(const explain::Diagnosis& diagnosis) {
  nlohmann::json lines = nlohmann::json::array();
  for (const explain::TimelineEntry& entry : diagnosis.timeline) {
    lines.push_back({{"time", explain::FormatLogTime(entry.time)},
                     {"host", entry.host},
                     {"message", entry.line.message},
                     {"fields", entry.line.fields}});
  }
  const nlohmann::json answer = {{"cause", diagnosis.summary},
                                 {"clocks", diagnosis.clock_corrections},
                                 {"lines", lines}};
  fmt::print("{}\n", answer.dump(2));
}

void PrintLossTable(const std::vector<explain::LossRow>& rows) {
  fmt::print("{:<24}  {:<21}  {:<19} {:>8} {:>6}\n", "window", "listener",
             "cause", "requests", "hosts");
  for (const explain::LossRow& row : rows) {
    fmt::print("{:<24}  {:<21}  {:<19} {:>8} {:>6}\n",
               explain::FormatLogTime(row.window), row.listener, row.cause,
               row.count, row.hosts);
  }
}

void PrintLossJson(const std::vector<explain::LossRow>& rows) {
  nlohmann::json items = nlohmann::json::array();
  for (const explain::LossRow& row : rows) {
    items.push_back({{"window", explain::FormatLogTime(row.window)},
                     {"listener", row.listener},
                     {"cause", row.cause},
                     {"requests", row.count},
                     {"hosts", row.hosts}});
  }
  const nlohmann::json answer = {{"window_ms", explain::kLossWindow.count()},
                                 {"losses", items}};
  fmt::print("{}\n", answer.dump(2));
}

int ExplainLosses(const cxxopts::ParseResult& arguments) {
  const explain::LossQuery query = ParseLossQuery(arguments);
  const auto rows = explain::TabulateLosses(ReadLogs(arguments), query);
  if (WantsJson(arguments)) {
    PrintLossJson(rows);
  } else {
    PrintLossTable(rows);
  }
  return kExitSuccess;
}

}  // namespace

void AddExplainLogsOptions(cxxopts::Options* options) {
  options->add_options()("log", "Log files of daemons, FILE,...",
                         cxxopts::value<std::vector<std::string>>())(
      "flow", "With --log: the client's IP:PORT of a flow",
      cxxopts::value<std::string>()->default_value(""))(
      "upstream", "With --log: id of an upstream",
      cxxopts::value<std::string>()->default_value(""))(
      "at", "With --log: time of the failure, for a flow without log lines",
      cxxopts::value<std::string>()->default_value(""))(
      "losses", "With --log: lost requests by window, listener and cause")(
      "from", "With --losses: begin of the period",
      cxxopts::value<std::string>()->default_value(""))(
      "to", "With --losses: end of the period",
      cxxopts::value<std::string>()->default_value(""));
}

int ExplainLogs(const cxxopts::ParseResult& arguments) {
  if (arguments.count("losses") > 0) {
    return ExplainLosses(arguments);
  }
  const explain::DiagnosisQuery query = ParseQuery(arguments);
  const explain::Diagnosis diagnosis =
      explain::Diagnose(ReadLogs(arguments), query);
  if (WantsJson(arguments)) {
    PrintJson(diagnosis);
  } else {
    PrintTable(diagnosis);
  }
  const bool is_diagnosed = diagnosis.cause != explain::Cause::kUnknown;
  return is_diagnosed ? kExitSuccess : kExitFailure;
}

}  // namespace poplarsail::app
