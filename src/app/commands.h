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

// The command line can't be used; the text says what to do.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One subcommand of the program.
struct Command {
  std::string name;
  std::string summary;
  // Adds the command's own options.
  void (*add_options)(cxxopts::Options* options);
  // Returns the exit code.
  int (*run)(const cxxopts::ParseResult& arguments);
};

const std::vector<Command>& Commands();

// Parses the arguments after the program's name and runs the subcommand.
int RunCommandLine(int argc, char** argv);

// Whether "--output json" was given. Throws UsageError for another value.
bool WantsJson(const cxxopts::ParseResult& arguments);

// The positional arguments; throws UsageError unless there are from `least` to
// `most` of them, naming `what` is expected.
std::vector<std::string> Positionals(const cxxopts::ParseResult& arguments,
                                     size_t least,
                                     size_t most,
                                     const std::string& what);

}  // namespace poplarsail::app

#endif  // APP_COMMANDS_H_
