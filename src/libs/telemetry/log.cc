#include "telemetry/log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "telemetry/log_sink.h"

namespace poplarsail::telemetry {

namespace {

// Longer values of fields are cut off.
constexpr size_t kMaxValueBytes = 256;

LogSink* g_sink = nullptr;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

bool NeedsQuotes(std::string_view value) {
  for (const char c : value) {
    const bool is_plain = static_cast<unsigned char>(c) > ' ' && c != '"' &&
                          c != '=' && c != '\\';
    if (!is_plain) {
      return true;
    }
  }
  return value.empty();
}

// Cuts a value off between two characters of UTF-8.
std::string_view Truncated(std::string_view value) {
  if (value.size() <= kMaxValueBytes) {
    return value;
  }
  const auto is_continuation = [](char c) {
    return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
  };
  size_t size = kMaxValueBytes;
  while (size > 0 && is_continuation(value[size])) {
    --size;
  }
  return value.substr(0, size);
}

std::string Quoted(std::string_view whole_value) {
  const std::string_view value = Truncated(whole_value);
  if (!NeedsQuotes(value)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
      continue;
    }
    const bool is_control = static_cast<unsigned char>(c) < ' ';
    quoted += is_control ? '?' : c;
  }
  return quoted + "\"";
}

}  // namespace

std::string FormatLogLine(LogLevel level,
                          std::string_view component,
                          std::string_view message,
                          std::initializer_list<LogField> fields) {
  std::string line = fmt::format("level={} duty={} msg={}", LevelName(level),
                                 component, Quoted(message));
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.key, Quoted(field.value));
  }
  return line;
}

std::string FormatTimestampedLogLine(LogLevel level,
                                     std::string_view component,
                                     std::string_view message,
                                     std::initializer_list<LogField> fields) {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return fmt::format("time={:%FT%T}.{:03}Z {}\n",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     now.time_since_epoch().count() % 1'000,
                     FormatLogLine(level, component, message, fields));
}

void SetLogSink(LogSink* sink) {
  g_sink = sink;
}

void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  const std::string line =
      FormatTimestampedLogLine(level, component, message, fields);
  if (g_sink != nullptr) {
    g_sink->Write(line);
    return;
  }
  // fmt::print() throws if the line can't be written.
  static_cast<void>(std::fputs(line.c_str(), stderr));
}

}  // namespace poplarsail::telemetry
