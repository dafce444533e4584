#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace poplarsail::telemetry {

enum class LogLevel : uint8_t { kInfo, kWarning, kError };

// One key and value of a logfmt line.
struct LogField {
  std::string_view key;
  std::string value;
};

// Returns one logfmt line without its line end. Values with spaces, quotes or
// control characters are quoted and escaped.
std::string FormatLogLine(LogLevel level,
                          std::string_view duty,
                          std::string_view message,
                          std::initializer_list<LogField> fields);

// The same with the time of day and a line end.
std::string FormatTimedLogLine(LogLevel level,
                               std::string_view duty,
                               std::string_view message,
                               std::initializer_list<LogField> fields);

class LogSink;

// Lines go to `sink` from now on, or to standard error where it is nullptr. The
// sink has to outlive all logging; set it before threads start.
void SetLogSink(LogSink* sink);

// Writes one line.
void Log(LogLevel level,
         std::string_view duty,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LOG_H_
