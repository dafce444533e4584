#include "explain/clock_alignment.h"

#include <algorithm>
#include <map>
#include <string>

namespace poplarsail::explain {

namespace {

using std::chrono::milliseconds;

template <typename Value>
Value Median(std::vector<Value> values) {
  const size_t middle = values.size() / 2;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<int64_t>(middle), values.end());
  return values[middle];
}

std::vector<ClockSegment> SplitAtSteps(const std::vector<LogFile>& files) {
  std::vector<ClockSegment> segments;
  for (size_t file = 0; file < files.size(); ++file) {
    const std::vector<LogLine>& lines = files[file].lines;
    size_t first = 0;
    for (size_t line = 1; line <= lines.size(); ++line) {
      const bool is_end =
          line == lines.size() ||
          lines[line].time + kClockTolerance < lines[line - 1].time;
      if (is_end) {
        segments.push_back({file, first, line});
        first = line;
      }
    }
  }
  return segments;
}

// The time at which each segment received a revision, keyed by object kind and
// revision, then by segment index.
using RevisionTimes = std::map<std::string, std::map<size_t, LogTime>>;

RevisionTimes CollectRevisionTimes(const std::vector<LogFile>& files,
                                   const std::vector<ClockSegment>& segments) {
  RevisionTimes times;
  for (size_t index = 0; index < segments.size(); ++index) {
    const ClockSegment& segment = segments[index];
    for (size_t i = segment.first_line; i < segment.end_line; ++i) {
      const LogLine& line = files[segment.file].lines[i];
      if (line.message == "changes taken") {
        const std::string key = line.Value("kind") + line.Value("revision");
        times[key].try_emplace(index, line.time);
      }
    }
  }
  return times;
}

}  // namespace

std::vector<ClockSegment> AlignClocks(const std::vector<LogFile>& files) {
  std::vector<ClockSegment> segments = SplitAtSteps(files);
  std::vector<std::vector<milliseconds>> differences(segments.size());
  for (const auto& [key, by_segment] : CollectRevisionTimes(files, segments)) {
    if (by_segment.size() < 2) {
      continue;
    }
    std::vector<LogTime> times;
    for (const auto& [segment, time] : by_segment) {
      times.push_back(time);
    }
    const LogTime middle = Median(times);
    for (const auto& [segment, time] : by_segment) {
      differences[segment].push_back(middle - time);
    }
  }
  for (size_t i = 0; i < segments.size(); ++i) {
    segments[i].shared_revisions = differences[i].size();
    if (differences[i].empty()) {
      continue;
    }
    const milliseconds correction = Median(differences[i]);
    const bool exceeds_tolerance =
        correction > kClockTolerance || correction < -kClockTolerance;
    segments[i].correction = exceeds_tolerance ? correction : milliseconds(0);
  }
  return segments;
}

}  // namespace poplarsail::explain
