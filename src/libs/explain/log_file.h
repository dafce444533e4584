#ifndef EXPLAIN_LOG_FILE_H_
#define EXPLAIN_LOG_FILE_H_

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace poplarsail::explain {

// Time of day as a daemon's clock told it.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One logfmt line of a daemon.
struct LogLine {
  LogTime time;
  std::string message;
  std::map<std::string, std::string> fields;

  // The field's value, empty where there is none.
  std::string Value(const std::string& key) const;

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

// Returns nothing where the text is no line of a daemon.
std::optional<LogLine> ParseLogLine(const std::string& text);

// "2026-12-04T06:12:16.525Z".
std::optional<LogTime> ParseLogTime(const std::string& text);
std::string FormatLogTime(LogTime time);

// The log of one daemon, in the order in which it was written.
struct LogFile {
  std::string host;
  std::string failure_domain;
  std::vector<LogLine> lines;
  // Lines that could not be read.
  size_t unreadable = 0;
};

// A log file that can't be used; the text names it.
class LogFileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads a log; the host is the one that the daemon names at its start, or else
// `name`.
LogFile ReadLog(std::istream* stream, const std::string& name);

// Throws LogFileError where the file can't be read or holds no log line.
LogFile ReadLogFile(const std::string& path);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_LOG_FILE_H_
