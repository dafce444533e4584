#include "explain/diagnosis.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace poplarsail::explain {

namespace {

using std::chrono::milliseconds;

constexpr const char* kFlowPlaced = "flow placed";
constexpr const char* kFlowRefused = "flow refused";
constexpr const char* kRequestsWaiting = "requests waiting";
constexpr const char* kUpstreamSilent = "upstream does not answer";
constexpr const char* kUpstreamRefuses = "upstream refuses connections";
constexpr const char* kUpstreamAnswers = "upstream answers";
constexpr const char* kHostStall = "host stood still";
// When at least this many upstreams of one failure domain stop responding, the
// failure is attributed to the domain instead of to a single upstream.
constexpr size_t kMinSilentUpstreams = 2;

// Merges the lines of all daemons, ordered by corrected time.
std::vector<TimelineEntry> BuildTimeline(
    const std::vector<LogFile>& files,
    const std::vector<ClockSegment>& segments) {
  std::vector<TimelineEntry> merged;
  for (const ClockSegment& segment : segments) {
    const LogFile& file = files[segment.file];
    for (size_t i = segment.first_line; i < segment.end_line; ++i) {
      merged.push_back(
          {file.lines[i].time + segment.correction, file.host, file.lines[i]});
    }
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.time < b.time;
                   });
  return merged;
}

// Whether the line reports a change of the daemon's own state: its lifecycle,
// its access to the store or a loss of log lines.
bool IsDaemonStateChange(const LogLine& line) {
  static const std::set<std::string> kMessages = {"started",
                                                  "ready",
                                                  "not ready",
                                                  "stopping",
                                                  "stopped",
                                                  "host stood still",
                                                  "store lost",
                                                  "store regained",
                                                  "belief taken from peer",
                                                  "lines dropped",
                                                  "configuration in force"};
  return kMessages.contains(line.message);
}

class Diagnoser {
 public:
  Diagnoser(const std::vector<LogFile>& files, const DiagnosisQuery& query)
      : m_query(query) {
    const std::vector<ClockSegment> segments = AlignClocks(files);
    m_timeline = BuildTimeline(files, segments);
    for (const LogFile& file : files) {
      m_domain_by_host[file.host] = file.failure_domain;
    }
    for (const ClockSegment& segment : segments) {
      if (segment.correction.count() != 0) {
        m_diagnosis.clock_corrections.push_back(fmt::format(
            "{}: {} ms added to {} lines, by {} shared revisions",
            files[segment.file].host, segment.correction.count(),
            segment.end_line - segment.first_line, segment.shared_revisions));
      }
    }
  }

  Diagnosis Run() {
    FindQueryLines();
    if (m_query_lines.empty() && !m_query.at) {
      m_diagnosis.summary =
          "no log line matches; pass the time of the failure with --at to find "
          "daemons that were not ready at that time";
      return m_diagnosis;
    }
    SetTimeWindow();
    CollectLines();
    DiagnoseCause();
    return m_diagnosis;
  }

 private:
  bool MatchesQuery(const TimelineEntry& entry) const {
    return m_query.flow.empty()
               ? entry.line.Value("upstream") == m_query.upstream
               : entry.line.Value("flow") == m_query.flow;
  }

  void FindQueryLines() {
    for (const TimelineEntry& entry : m_timeline) {
      if (!MatchesQuery(entry)) {
        continue;
      }
      m_query_lines.push_back(entry);
      m_involved_hosts.insert(entry.host);
      const std::string upstream = entry.line.Value("upstream");
      if (!upstream.empty() && upstream != "none") {
        m_upstreams.insert(upstream);
      }
    }
  }

  void SetTimeWindow() {
    m_window_begin =
        m_query_lines.empty() ? *m_query.at : m_query_lines.front().time;
    m_window_end = m_query.at.value_or(
        m_query_lines.empty() ? m_window_begin : m_query_lines.back().time);
    m_window_end = std::max(m_window_end, m_window_begin) + kCauseWindow;
    m_window_begin -= kCauseWindow;
  }

  bool IsInWindow(const TimelineEntry& entry) const {
    return entry.time >= m_window_begin && entry.time <= m_window_end;
  }

  void CollectLines() {
    for (const TimelineEntry& entry : m_timeline) {
      const bool concerns_upstream =
          entry.line.message != kFlowPlaced &&
          entry.line.message != kFlowRefused &&
          m_upstreams.contains(entry.line.Value("upstream"));
      const bool concerns_daemon =
          (m_query_lines.empty() || m_involved_hosts.contains(entry.host)) &&
          IsDaemonStateChange(entry.line);
      const bool is_related =
          IsInWindow(entry) && (concerns_upstream || concerns_daemon);
      if (MatchesQuery(entry) || is_related) {
        m_diagnosis.timeline.push_back(entry);
      }
    }
  }

  void DiagnoseCause() {
    if (m_query_lines.empty()) {
      DiagnoseUnreadyDaemons();
      return;
    }
    if (DiagnoseSilence()) {
      return;
    }
    for (auto entry = m_query_lines.rbegin(); entry != m_query_lines.rend();
         ++entry) {
      if (entry->line.message == kFlowRefused) {
        ExplainRefusal(*entry);
        return;
      }
    }
    if (DiagnoseStall()) {
      return;
    }
    m_diagnosis.cause = Cause::kNoFailureFound;
    m_diagnosis.summary =
        "the flow was placed and its upstream was not found silent; check the "
        "upstream's own log";
  }

  // Returns the reports of failed checks of upstreams that fall into the time
  // window or were still valid when it began. Earlier reports count because
  // each host logs an unresponsive upstream only once, until the upstream
  // answers again.
  std::vector<const TimelineEntry*> SilencesInWindow() const {
    std::map<std::pair<std::string, std::string>, const TimelineEntry*> silent;
    for (const TimelineEntry& entry : m_timeline) {
      const auto key = std::pair(entry.host, entry.line.Value("upstream"));
      if (entry.time > m_window_end) {
        break;
      }
      if (entry.line.message == kUpstreamSilent ||
          entry.line.message == kUpstreamRefuses) {
        silent.try_emplace(key, &entry);
      } else if (entry.line.message == kUpstreamAnswers &&
                 entry.time < m_window_begin) {
        silent.erase(key);
      }
    }
    std::vector<const TimelineEntry*> reports;
    for (const auto& [key, entry] : silent) {
      reports.push_back(entry);
    }
    std::sort(reports.begin(), reports.end(),
              [](const auto* a, const auto* b) { return a->time < b->time; });
    return reports;
  }

  // Sets the cause and returns true if an upstream of the query was reported
  // unresponsive.
  bool DiagnoseSilence() {
    std::map<std::string, std::set<std::string>> silent_by_domain;
    std::map<std::string, std::set<std::string>> hosts_by_domain;
    const TimelineEntry* first = nullptr;
    for (const TimelineEntry* entry : SilencesInWindow()) {
      const std::string domain = entry->line.Value("domain");
      // Usually the upstream's host refused the connection, so this is no
      // evidence of a failure of the domain.
      if (entry->line.Value("connection") == "silent") {
        silent_by_domain[domain].insert(entry->line.Value("upstream"));
        hosts_by_domain[domain].insert(m_domain_by_host[entry->host]);
      }
      const bool is_queried =
          m_upstreams.contains(entry->line.Value("upstream"));
      first = first == nullptr && is_queried ? entry : first;
    }
    if (first == nullptr) {
      return false;
    }
    if (first->line.Value("connection") == "refused") {
      m_diagnosis.cause = Cause::kUpstreamRefusing;
      m_diagnosis.summary = fmt::format(
          "the upstream had stopped, was stopping, or was behind a partition "
          "that refuses connections: {} found that upstream {} refused "
          "connections at {}",
          first->host, first->line.Value("upstream"),
          FormatLogTime(first->time));
      return true;
    }
    const std::string domain = first->line.Value("domain");
    const std::set<std::string>& silent = silent_by_domain[domain];
    const std::string evidence =
        fmt::format("{} found upstream {} silent at {} ({})", first->host,
                    first->line.Value("upstream"), FormatLogTime(first->time),
                    first->line.Value("connection"));
    if (!silent.contains(first->line.Value("upstream")) ||
        silent.size() < kMinSilentUpstreams) {
      m_diagnosis.cause = Cause::kUpstreamUnresponsive;
      m_diagnosis.summary = "the upstream died: " + evidence;
      return true;
    }
    // Hosts inside a partitioned domain still reach its upstreams, so a report
    // from inside means that the domain itself failed.
    const bool is_seen_inside = hosts_by_domain[domain].contains(domain);
    m_diagnosis.cause =
        is_seen_inside ? Cause::kDomainDown : Cause::kDomainPartitioned;
    m_diagnosis.summary = fmt::format(
        "failure domain {} was {}: {} of its upstreams fell silent, {}; {}",
        domain, is_seen_inside ? "lost" : "cut off", silent.size(),
        is_seen_inside ? "also for its own hosts" : "for other domains' hosts",
        evidence);
    return true;
  }

  // Sets the cause and returns true if a daemon that handled the flow was
  // stalled within the time window.
  bool DiagnoseStall() {
    for (const TimelineEntry& entry : m_diagnosis.timeline) {
      const bool is_stall = entry.line.message == kHostStall &&
                            m_involved_hosts.contains(entry.host) &&
                            IsInWindow(entry);
      if (is_stall) {
        m_diagnosis.cause = Cause::kHostStalled;
        m_diagnosis.summary = fmt::format(
            "{} stood still until {}: packets that reached it waited",
            entry.host, FormatLogTime(entry.time));
        return true;
      }
    }
    return false;
  }

  void ExplainRefusal(const TimelineEntry& refusal) {
    static const std::map<std::string, std::pair<Cause, const char*>> kReasons =
        {{"no-upstream",
          {Cause::kNoUpstream, "no upstream could take the flow"}},
         {"no-room",
          {Cause::kNoRoom, "the service was full, nothing was forwarded"}},
         {"no-listener",
          {Cause::kNoListener, "the configuration has no such listener"}},
         {"upstream-gone",
          {Cause::kUpstreamGone, "the flow's upstream had left"}},
         {"upstream-dead",
          {Cause::kUpstreamUnresponsive,
           "the upstream's flows got no answers"}},
         {"unknown-tag",
          {Cause::kUnknownTag, "no upstream was known for the flow's tag"}}};
    const auto found = kReasons.find(refusal.line.Value("reason"));
    if (found == kReasons.end()) {
      m_diagnosis.summary = "refused: " + refusal.line.Value("reason");
      return;
    }
    m_diagnosis.cause = found->second.first;
    m_diagnosis.summary =
        fmt::format("{}: refused by {} at {}", found->second.second,
                    refusal.host, FormatLogTime(refusal.time));
    if (m_diagnosis.cause == Cause::kNoRoom) {
      m_diagnosis.summary += DescribeLoad(refusal.time);
    }
  }

  // What the schedulers reported closest to `time`, or an empty string.
  std::string DescribeLoad(LogTime time) const {
    const TimelineEntry* closest = nullptr;
    for (const TimelineEntry& entry : m_timeline) {
      if (entry.line.message != kRequestsWaiting || !IsInWindow(entry)) {
        continue;
      }
      const bool is_closer =
          closest == nullptr || std::chrono::abs(entry.time - time) <
                                    std::chrono::abs(closest->time - time);
      closest = is_closer ? &entry : closest;
    }
    if (closest == nullptr) {
      return "";
    }
    return fmt::format(
        "; at {} the scheduler on {} had {} requests waiting for {}, {} "
        "outstanding for {} places",
        FormatLogTime(closest->time), closest->host,
        closest->line.Value("waiting"), closest->line.Value("service"),
        closest->line.Value("outstanding"), closest->line.Value("places"));
  }

  // Lists the daemons that had started but were not ready at the time of the
  // failure.
  void DiagnoseUnreadyDaemons() {
    std::map<std::string, LogTime> started;
    std::map<std::string, std::string> lost;
    std::vector<std::string> unready_periods;
    for (const TimelineEntry& entry : m_timeline) {
      const std::string& message = entry.line.message;
      if (message == "started") {
        started[entry.host] = entry.time;
        lost[entry.host].clear();
      } else if (message == "store lost") {
        lost[entry.host] = entry.line.Value("reason");
      } else if (message == "ready" && started.contains(entry.host)) {
        AddUnreadyPeriod(entry.host, started[entry.host], entry.time,
                         lost[entry.host], &unready_periods);
        started.erase(entry.host);
      }
    }
    for (const auto& [host, time] : started) {
      AddUnreadyPeriod(host, time, LogTime::max(), lost[host],
                       &unready_periods);
    }
    if (unready_periods.empty()) {
      m_diagnosis.summary =
          "no log line matches, and no started daemon was unready at that time";
      return;
    }
    m_diagnosis.cause = Cause::kDaemonNotReady;
    m_diagnosis.summary = "packets waited for a belief: " +
                          fmt::format("{}", fmt::join(unready_periods, "; "));
  }

  void AddUnreadyPeriod(const std::string& host,
                        LogTime begin,
                        LogTime end,
                        const std::string& reason,
                        std::vector<std::string>* unready_periods) const {
    const LogTime at = *m_query.at;
    if (at < begin || at > end) {
      return;
    }
    unready_periods->push_back(fmt::format(
        "{} started at {} and {}{}", host, FormatLogTime(begin),
        end == LogTime::max() ? "is not ready yet"
                              : "was ready at " + FormatLogTime(end),
        reason.empty() ? "" : ", store lost: " + reason));
  }

  DiagnosisQuery m_query;
  std::vector<TimelineEntry> m_timeline;
  std::map<std::string, std::string> m_domain_by_host;
  std::vector<TimelineEntry> m_query_lines;
  std::set<std::string> m_upstreams;
  // Hosts whose logs contain lines that match the query.
  std::set<std::string> m_involved_hosts;
  LogTime m_window_begin;
  LogTime m_window_end;
  Diagnosis m_diagnosis;
};

}  // namespace

Diagnosis Diagnose(const std::vector<LogFile>& files,
                   const DiagnosisQuery& query) {
  return Diagnoser(files, query).Run();
}

}  // namespace poplarsail::explain
