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

// Wall-clock time according to the clock of the daemon that wrote the log.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One logfmt line written by a daemon.
struct LogLine {
  LogTime time;
  std::string message;
  std::map<std::string, std::string> fields;

  // Returns the value of the field, or an empty string if it is missing.
  std::string Value(const std::string& key) const;

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

// Returns std::nullopt if the text is not a daemon's log line.
std::optional<LogLine> ParseLogLine(const std::string& text);

// Times have the format "2026-12-04T06:12:16.525Z".
std::optional<LogTime> ParseLogTime(const std::string& text);
std::string FormatLogTime(LogTime time);

// The log of one daemon, with its lines in the order written.
struct LogFile {
  std::string host;
  std::string failure_domain;
  std::vector<LogLine> lines;
  size_t unparsable_lines = 0;
};

// Thrown for an unusable log file; the message names the file.
class LogFileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads a log. The host name is taken from the "started" line; `name` is used
// if there is none.
LogFile ReadLog(std::istream* stream, const std::string& name);

// Throws LogFileError if the file can't be read or contains no log line.
LogFile ReadLogFile(const std::string& path);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_LOG_FILE_H_
