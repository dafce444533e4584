#include "explain/log_file.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace poplarsail::explain {

namespace {

// Parses the next "key=value" field of `text` at `position` and advances
// `position`. Quoted values escape quotes and backslashes with a backslash.
// Returns false at the end of the text or if a quoted value is not terminated.
bool ParseNextField(const std::string& text,
                    size_t* position,
                    std::string* key,
                    std::string* value) {
  *position = text.find_first_not_of(' ', *position);
  const size_t equals = text.find('=', *position);
  if (*position == std::string::npos || equals == std::string::npos) {
    return false;
  }
  *key = text.substr(*position, equals - *position);
  value->clear();
  size_t next = equals + 1;
  const bool is_quoted = next < text.size() && text[next] == '"';
  if (!is_quoted) {
    const size_t end = std::min(text.find(' ', next), text.size());
    *value = text.substr(next, end - next);
    *position = end;
    return true;
  }
  for (++next; next < text.size() && text[next] != '"'; ++next) {
    const bool is_escaped = text[next] == '\\' && next + 1 < text.size();
    next += is_escaped ? 1 : 0;
    *value += text[next];
  }
  *position = next + 1;
  return next < text.size();
}

}  // namespace

std::string LogLine::Value(const std::string& key) const {
  const auto found = fields.find(key);
  return found == fields.end() ? "" : found->second;
}

std::optional<LogTime> ParseLogTime(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hours = 0;
  int minutes = 0;
  int seconds = 0;
  int millis = 0;
  char zone = 0;
  std::istringstream stream(text);
  const auto separator = [&stream](char expected) {
    char found = 0;
    stream >> found;
    if (found != expected) {
      stream.setstate(std::ios::failbit);
    }
  };
  stream >> year;
  separator('-');
  stream >> month;
  separator('-');
  stream >> day;
  separator('T');
  stream >> hours;
  separator(':');
  stream >> minutes;
  separator(':');
  stream >> seconds;
  separator('.');
  stream >> millis >> zone;
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!stream || zone != 'Z' || !date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(hours) +
         std::chrono::minutes(minutes) + std::chrono::seconds(seconds) +
         std::chrono::milliseconds(millis);
}

std::string FormatLogTime(LogTime time) {
  return fmt::format("{:%FT%T}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                     time.time_since_epoch().count() % 1'000);
}

std::optional<LogLine> ParseLogLine(const std::string& text) {
  LogLine line;
  size_t position = 0;
  std::string key;
  std::string value;
  while (position < text.size() &&
         ParseNextField(text, &position, &key, &value)) {
    line.fields[key] = value;
  }
  const auto time = ParseLogTime(line.Value("time"));
  if (!time || line.Value("msg").empty()) {
    return std::nullopt;
  }
  line.time = *time;
  line.message = line.Value("msg");
  for (const char* common : {"time", "msg", "level", "duty"}) {
    line.fields.erase(common);
  }
  return line;
}

LogFile ReadLog(std::istream* stream, const std::string& name) {
  LogFile file;
  file.host = name;
  std::string text;
  while (std::getline(*stream, text)) {
    const auto line = ParseLogLine(text);
    if (!line) {
      ++file.unparsable_lines;
      continue;
    }
    if (line->message == "started" && !line->Value("host").empty()) {
      file.host = line->Value("host");
      file.failure_domain = line->Value("failure_domain");
    }
    file.lines.push_back(*line);
  }
  return file;
}

LogFile ReadLogFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    throw LogFileError(fmt::format("{}: can't be read", path));
  }
  LogFile file = ReadLog(&stream, std::filesystem::path(path).stem().string());
  if (file.lines.empty()) {
    throw LogFileError(
        fmt::format("{}: contains no log lines of a daemon", path));
  }
  return file;
}

}  // namespace poplarsail::explain
