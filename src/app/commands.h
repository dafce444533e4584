#ifndef APP_COMMANDS_H_
#define APP_COMMANDS_H_

#include <stdexcept>
#include <string>
#include <vector>

#include <cxxopts.hpp>

namespace poplarsail::app {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Thrown for an invalid command line; the message tells the user what to do.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One subcommand of the program.
struct Command {
  std::string name;
  std::string summary;
  // Adds the options specific to the command.
  void (*add_options)(cxxopts::Options* options);
  // Returns the exit code.
  int (*run)(const cxxopts::ParseResult& arguments);
};

const std::vector<Command>& Commands();

// Parses the arguments after the program's name and runs the subcommand.
int RunCommandLine(int argc, char** argv);

// Whether "--output json" was given. Throws UsageError for unsupported formats.
bool WantsJson(const cxxopts::ParseResult& arguments);

// Returns the positional arguments. Throws UsageError unless there are
// `min_count` to `max_count` of them; the message asks for `expected`.
std::vector<std::string> Positionals(const cxxopts::ParseResult& arguments,
                                     size_t min_count,
                                     size_t max_count,
                                     const std::string& expected);

}  // namespace poplarsail::app

#endif  // APP_COMMANDS_H_
