#include "app/commands.h"

#include <cstdio>
#include <exception>

#include <fmt/format.h>

#include "app/daemon_options.h"
#include "app/object_commands.h"
#include "app/observe_commands.h"
#include "app/serve_command.h"
#include "daemon_process/daemon_process.h"
#include "model/model.h"
#include "objects/objects.h"
#include "runtime/runtime.h"

namespace poplarsail::app {

namespace {

int RunDaemonCommand(const cxxopts::ParseResult& arguments) {
  daemon_process::Prepare();
  const model::Settings settings = model::LoadSettings(SettingsPath(arguments));
  return IsCheckOnly(arguments) ? kExitSuccess : runtime::RunDaemon(settings);
}

void PrintUsage() {
  fmt::print("Usage: poplarsail COMMAND [OPTION...]\n\nCommands:\n");
  for (const Command& command : Commands()) {
    fmt::print("  {:<10}{}\n", command.name, command.summary);
  }
  fmt::print(
      "\nRun \"poplarsail COMMAND --help\" for a command's options.\n"
      "Exit codes: 0 success, 1 failure, 2 usage error.\n");
}

int RunCommand(const Command& command, int argc, char** argv) {
  cxxopts::Options options("poplarsail " + command.name, command.summary);
  options.add_options()("h,help", "Show this help")("version",
                                                    "Show the version")(
      "output", "Output format: table or json",
      cxxopts::value<std::string>()->default_value("table"))(
      "names", "Positional arguments",
      cxxopts::value<std::vector<std::string>>());
  command.add_options(&options);
  options.parse_positional({"names"});
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    fmt::print("{}", options.help());
    return kExitSuccess;
  }
  if (arguments.count("version") > 0) {
    fmt::print("poplarsail {}\n", POPLARSAIL_VERSION);
    return kExitSuccess;
  }
  return command.run(arguments);
}

int RunCommandByName(const std::string& name, int argc, char** argv) {
  if (name == "--help" || name == "-h") {
    PrintUsage();
    return kExitSuccess;
  }
  if (name == "--version") {
    fmt::print("poplarsail {}\n", POPLARSAIL_VERSION);
    return kExitSuccess;
  }
  for (const Command& command : Commands()) {
    if (command.name == name) {
      return RunCommand(command, argc, argv);
    }
  }
  throw UsageError(
      fmt::format("Unknown command \"{}\". See \"poplarsail --help\".", name));
}

// Unlike fmt::print(), doesn't throw if the text can't be written.
void PrintError(const std::string& text) {
  std::fputs((text + "\n").c_str(), stderr);
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"run", "Run the daemon of one entry host", &AddDaemonOptions,
       &RunDaemonCommand},
      {"serve", "Run an entry host that steers flows by tags",
       &AddDaemonOptions, &RunServe},
      {"apply", "Create or update resources from a file", &AddApiOptions,
       &RunApply},
      {"get", "Show resources: get KIND [NAME]", &AddApiOptions, &RunGet},
      {"diff", "Compare a file with the stored resources", &AddApiOptions,
       &RunDiff},
      {"watch", "Show changes as they occur", &AddApiOptions, &RunWatch},
      {"delete", "Delete a resource: delete KIND NAME", &AddApiOptions,
       &RunDelete},
      {"validate", "Validate a resource file", &AddApiOptions, &RunValidate},
      {"status", "Show the plans in force on each entry host", &AddApiOptions,
       &RunStatus},
      {"explain", "Show where a flow goes, or diagnose its failure from logs",
       &AddExplainOptions, &RunExplain},
      {"report", "Show the error-budget burn rate", &AddReportOptions,
       &RunReport},
  };
  return commands;
}

int RunCommandLine(int argc, char** argv) {
  try {
    if (argc < 2) {
      PrintUsage();
      return kExitUsage;
    }
    return RunCommandByName(argv[1], argc - 1, argv + 1);
  } catch (const UsageError& error) {
    PrintError(error.what());
    return kExitUsage;
  } catch (const cxxopts::exceptions::exception& error) {
    PrintError(fmt::format("{}. See \"poplarsail --help\".", error.what()));
    return kExitUsage;
  } catch (const std::exception& error) {
    PrintError(error.what());
    return kExitFailure;
  }
}

bool WantsJson(const cxxopts::ParseResult& arguments) {
  const auto output = arguments["output"].as<std::string>();
  if (output != "json" && output != "table") {
    throw UsageError(
        fmt::format("--output \"{}\" is not one of: table, json.", output));
  }
  return output == "json";
}

std::vector<std::string> Positionals(const cxxopts::ParseResult& arguments,
                                     size_t min_count,
                                     size_t max_count,
                                     const std::string& expected) {
  std::vector<std::string> names;
  if (arguments.count("names") > 0) {
    names = arguments["names"].as<std::vector<std::string>>();
  }
  if (names.size() < min_count || names.size() > max_count) {
    throw UsageError("Specify " + expected + ".");
  }
  return names;
}

}  // namespace poplarsail::app
