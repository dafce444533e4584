#include "app/explain_logs.h"

#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "app/commands.h"
#include "explain/explain.h"
#include "model/model.h"

namespace poplarsail::app {

namespace {

explain::Subject ParseSubject(const cxxopts::ParseResult& arguments) {
  explain::Subject subject;
  subject.flow = arguments["flow"].as<std::string>();
  subject.upstream = arguments["upstream"].as<std::string>();
  if (subject.flow.empty() == subject.upstream.empty()) {
    throw UsageError("Give one of --flow IP:PORT and --upstream ID.");
  }
  if (!subject.flow.empty() && !model::ParseIpv4Endpoint(subject.flow)) {
    throw UsageError(fmt::format(
        "--flow: \"{}\" is not an IPv4 address with a port", subject.flow));
  }
  const auto at = arguments["at"].as<std::string>();
  if (!at.empty()) {
    subject.at = explain::ParseLogTime(at);
    if (!subject.at) {
      throw UsageError(fmt::format(
          "--at: \"{}\" is not a time like 2026-12-04T06:12:16.525Z", at));
    }
  }
  return subject;
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

std::string FieldsOf(const explain::LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    text += fmt::format(" {}={}", key, value);
  }
  return text;
}

void PrintTable(const explain::Story& story) {
  for (const explain::StoryLine& line : story.lines) {
    fmt::print("{}  {:<20} {}{}\n", explain::FormatLogTime(line.time),
               line.host, line.line.message, FieldsOf(line.line));
  }
  for (const std::string& clock : story.clocks) {
    fmt::print("clock: {}\n", clock);
  }
  fmt::print("cause: {}\n", story.summary);
}

void PrintJson(const explain::Story& story) {
  nlohmann::json lines = nlohmann::json::array();
  for (const explain::StoryLine& line : story.lines) {
    lines.push_back({{"time", explain::FormatLogTime(line.time)},
                     {"host", line.host},
                     {"message", line.line.message},
                     {"fields", line.line.fields}});
  }
  const nlohmann::json answer = {
      {"cause", story.summary}, {"clocks", story.clocks}, {"lines", lines}};
  fmt::print("{}\n", answer.dump(2));
}

}  // namespace

void AddExplainLogsOptions(cxxopts::Options* options) {
  options->add_options()("log", "Log files of daemons, FILE,...",
                         cxxopts::value<std::vector<std::string>>())(
      "flow", "With --log: the caller's IP:PORT of a flow",
      cxxopts::value<std::string>()->default_value(""))(
      "upstream", "With --log: id of an upstream",
      cxxopts::value<std::string>()->default_value(""))(
      "at", "With --log: when the request failed, for a flow without lines",
      cxxopts::value<std::string>()->default_value(""));
}

int ExplainLogs(const cxxopts::ParseResult& arguments) {
  const explain::Subject subject = ParseSubject(arguments);
  const explain::Story story = explain::TellStory(ReadLogs(arguments), subject);
  if (WantsJson(arguments)) {
    PrintJson(story);
  } else {
    PrintTable(story);
  }
  const bool is_explained = story.cause != explain::Cause::kNoTrace;
  return is_explained ? kExitSuccess : kExitFailure;
}

}  // namespace poplarsail::app
