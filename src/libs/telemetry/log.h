#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace poplarsail::telemetry {

enum class LogLevel : uint8_t { kInfo, kWarning, kError };

// A key-value pair of a logfmt line.
struct LogField {
  std::string_view key;
  std::string value;
};

// Returns a logfmt line without the newline. Values that are empty or contain
// spaces, control characters, quotes, equals signs or backslashes are quoted.
// Quotes and backslashes are escaped; control characters become "?".
std::string FormatLogLine(LogLevel level,
                          std::string_view component,
                          std::string_view message,
                          std::initializer_list<LogField> fields);

// Returns the same line with a UTC timestamp in front and a newline at the end.
std::string FormatTimestampedLogLine(LogLevel level,
                                     std::string_view component,
                                     std::string_view message,
                                     std::initializer_list<LogField> fields);

class LogSink;

// Writes all further lines to `sink`, or to standard error if it is nullptr.
// The sink must outlive all logging and be set before threads are started.
void SetLogSink(LogSink* sink);

void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LOG_H_
