#include "explain/loss_table.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <tuple>

#include "explain/clock_alignment.h"

namespace poplarsail::explain {

namespace {

constexpr const char* kLossMessage = "requests lost";

struct Key {
  LogTime window;
  std::string listener;
  std::string cause;

  friend auto operator<=>(const Key&, const Key&) = default;
};

struct Total {
  uint64_t count = 0;
  std::set<std::string> hosts;
};

using Totals = std::map<Key, Total>;

LogTime WindowOf(LogTime time) {
  const auto since_epoch = time.time_since_epoch();
  return LogTime(since_epoch - since_epoch % kLossWindow);
}

bool IsInPeriod(LogTime time, const LossQuery& query) {
  return (!query.from || time >= *query.from) &&
         (!query.to || time < *query.to);
}

// Returns 0 for a count that is not a number: the line was cut off.
uint64_t CountOf(const LogLine& line) {
  const std::string text = line.Value("count");
  uint64_t count = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  return error == std::errc() && end == text.data() + text.size() ? count : 0;
}

void AddSegment(const LogFile& file,
                const ClockSegment& segment,
                const LossQuery& query,
                Totals* totals) {
  for (size_t i = segment.first_line; i < segment.end_line; ++i) {
    const LogLine& line = file.lines[i];
    const LogTime time = line.time + segment.correction;
    if (line.message != kLossMessage || !IsInPeriod(time, query)) {
      continue;
    }
    const uint64_t count = CountOf(line);
    if (count == 0) {
      continue;
    }
    Total& total = (*totals)[{WindowOf(time), line.Value("listener"),
                              line.Value("cause")}];
    total.count += count;
    total.hosts.insert(file.host);
  }
}

}  // namespace

std::vector<LossRow> TabulateLosses(const std::vector<LogFile>& files,
                                    const LossQuery& query) {
  Totals totals;
  for (const ClockSegment& segment : AlignClocks(files)) {
    AddSegment(files[segment.file], segment, query, &totals);
  }
  std::vector<LossRow> rows;
  for (const auto& [key, total] : totals) {
    rows.push_back(
        {key.window, key.listener, key.cause, total.count, total.hosts.size()});
  }
  std::stable_sort(
      rows.begin(), rows.end(), [](const LossRow& a, const LossRow& b) {
        return std::tie(a.window, b.count) < std::tie(b.window, a.count);
      });
  return rows;
}

}  // namespace poplarsail::explain
