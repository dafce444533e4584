#include "explain/story.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace poplarsail::explain {

namespace {

using std::chrono::milliseconds;

constexpr const char* kPlaced = "flow placed";
constexpr const char* kRefused = "flow refused";
constexpr const char* kSilent = "upstream does not answer";
constexpr const char* kAnswers = "upstream answers";
constexpr const char* kStoodStill = "host stood still";
// Upstreams of one failure domain that fall silent together are taken for a
// trouble of the domain.
constexpr size_t kSilentTogether = 2;

// All lines of all daemons, in the order of corrected times.
std::vector<StoryLine> MergeLines(const std::vector<LogFile>& files,
                                  const std::vector<ClockSegment>& segments) {
  std::vector<StoryLine> merged;
  for (const ClockSegment& segment : segments) {
    const LogFile& file = files[segment.file];
    for (size_t i = segment.first_line; i < segment.end_line; ++i) {
      merged.push_back(
          {file.lines[i].time + segment.correction, file.host, file.lines[i]});
    }
  }
  std::stable_sort(
      merged.begin(), merged.end(),
      [](const StoryLine& a, const StoryLine& b) { return a.time < b.time; });
  return merged;
}

// Lines that tell what a daemon could know and do.
bool IsAboutDaemon(const LogLine& line) {
  static const std::set<std::string> kMessages = {
      "started",      "ready",          "not ready",
      "stopping",     "stopped",        "host stood still",
      "store lost",   "store regained", "belief taken from peer",
      "lines dropped"};
  return kMessages.contains(line.message);
}

class Teller {
 public:
  Teller(const std::vector<LogFile>& files, const Subject& subject)
      : m_subject(subject) {
    const std::vector<ClockSegment> segments = AlignClocks(files);
    m_all = MergeLines(files, segments);
    for (const LogFile& file : files) {
      m_domains[file.host] = file.failure_domain;
    }
    for (const ClockSegment& segment : segments) {
      if (segment.correction.count() != 0) {
        m_story.clocks.push_back(fmt::format(
            "{}: {} ms added to {} lines, by {} shared revisions",
            files[segment.file].host, segment.correction.count(),
            segment.end_line - segment.first_line, segment.shared_revisions));
      }
    }
  }

  Story Tell() {
    FindOwnLines();
    if (m_own.empty() && !m_subject.at) {
      m_story.summary =
          "no line is about it; give the time of the failure with --at to see "
          "what daemons knew then";
      return m_story;
    }
    SetWindow();
    CollectLines();
    FindCause();
    return m_story;
  }

 private:
  bool IsOwn(const StoryLine& line) const {
    return m_subject.flow.empty()
               ? line.line.Value("upstream") == m_subject.upstream
               : line.line.Value("flow") == m_subject.flow;
  }

  void FindOwnLines() {
    for (const StoryLine& line : m_all) {
      if (!IsOwn(line)) {
        continue;
      }
      m_own.push_back(line);
      m_hosts.insert(line.host);
      const std::string upstream = line.line.Value("upstream");
      if (!upstream.empty() && upstream != "none") {
        m_upstreams.insert(upstream);
      }
    }
  }

  void SetWindow() {
    m_begin = m_own.empty() ? *m_subject.at : m_own.front().time;
    m_end = m_subject.at.value_or(m_own.empty() ? m_begin : m_own.back().time);
    m_end = std::max(m_end, m_begin) + kStoryReach;
    m_begin -= kStoryReach;
  }

  bool IsInWindow(const StoryLine& line) const {
    return line.time >= m_begin && line.time <= m_end;
  }

  void CollectLines() {
    for (const StoryLine& line : m_all) {
      const bool is_about_upstream =
          line.line.message != kPlaced && line.line.message != kRefused &&
          m_upstreams.contains(line.line.Value("upstream"));
      const bool is_about_daemon =
          (m_own.empty() || m_hosts.contains(line.host)) &&
          IsAboutDaemon(line.line);
      const bool is_related =
          IsInWindow(line) && (is_about_upstream || is_about_daemon);
      if (IsOwn(line) || is_related) {
        m_story.lines.push_back(line);
      }
    }
  }

  void FindCause() {
    if (m_own.empty()) {
      FindMissingBelief();
      return;
    }
    if (FindSilence()) {
      return;
    }
    for (auto line = m_own.rbegin(); line != m_own.rend(); ++line) {
      if (line->line.message == kRefused) {
        ExplainRefusal(*line);
        return;
      }
    }
    if (FindStall()) {
      return;
    }
    m_story.cause = Cause::kNothingFailed;
    m_story.summary =
        "the flow was placed and its upstream was not found silent; the "
        "upstream's own log tells more";
  }

  // The findings of silence that came in the window, or came before and were
  // not taken back by then: each host logs an upstream's silence once.
  std::vector<const StoryLine*> SilentDuringWindow() const {
    std::map<std::pair<std::string, std::string>, const StoryLine*> silent;
    for (const StoryLine& line : m_all) {
      const auto key = std::pair(line.host, line.line.Value("upstream"));
      if (line.time > m_end) {
        break;
      }
      if (line.line.message == kSilent) {
        silent.try_emplace(key, &line);
      } else if (line.line.message == kAnswers && line.time < m_begin) {
        silent.erase(key);
      }
    }
    std::vector<const StoryLine*> findings;
    for (const auto& [key, line] : silent) {
      findings.push_back(line);
    }
    std::sort(findings.begin(), findings.end(),
              [](const auto* a, const auto* b) { return a->time < b->time; });
    return findings;
  }

  // Whether an upstream of the subject was found silent.
  bool FindSilence() {
    std::map<std::string, std::set<std::string>> silent_by_domain;
    std::map<std::string, std::set<std::string>> hosts_by_domain;
    const StoryLine* first = nullptr;
    for (const StoryLine* line : SilentDuringWindow()) {
      const std::string domain = line->line.Value("domain");
      // A connection that is refused tells of a process, not of its domain.
      if (line->line.Value("connection") == "silent") {
        silent_by_domain[domain].insert(line->line.Value("upstream"));
        hosts_by_domain[domain].insert(m_domains[line->host]);
      }
      const bool is_own = m_upstreams.contains(line->line.Value("upstream"));
      first = first == nullptr && is_own ? line : first;
    }
    if (first == nullptr) {
      return false;
    }
    const std::string domain = first->line.Value("domain");
    const std::set<std::string>& silent = silent_by_domain[domain];
    const std::string evidence =
        fmt::format("{} found upstream {} silent at {} ({})", first->host,
                    first->line.Value("upstream"), FormatLogTime(first->time),
                    first->line.Value("connection"));
    if (!silent.contains(first->line.Value("upstream")) ||
        silent.size() < kSilentTogether) {
      m_story.cause = Cause::kUpstreamDark;
      m_story.summary = "the upstream died: " + evidence;
      return true;
    }
    // Hosts inside a domain that is cut off still reach its upstreams.
    const bool is_seen_inside = hosts_by_domain[domain].contains(domain);
    m_story.cause = is_seen_inside ? Cause::kDomainLost : Cause::kDomainCut;
    m_story.summary = fmt::format(
        "failure domain {} was {}: {} of its upstreams fell silent, {}; {}",
        domain, is_seen_inside ? "lost" : "cut off", silent.size(),
        is_seen_inside ? "also for its own hosts" : "for other domains' hosts",
        evidence);
    return true;
  }

  // Whether a daemon that took part stood still meanwhile.
  bool FindStall() {
    for (const StoryLine& line : m_story.lines) {
      const bool is_stall = line.line.message == kStoodStill &&
                            m_hosts.contains(line.host) && IsInWindow(line);
      if (is_stall) {
        m_story.cause = Cause::kHostStalled;
        m_story.summary = fmt::format(
            "{} stood still until {}: packets that reached it waited",
            line.host, FormatLogTime(line.time));
        return true;
      }
    }
    return false;
  }

  void ExplainRefusal(const StoryLine& refusal) {
    static const std::map<std::string, std::pair<Cause, const char*>> kReasons =
        {{"no-upstream",
          {Cause::kNoUpstream, "no upstream could take the flow"}},
         {"no-listener",
          {Cause::kNoListener, "the configuration has no such listener"}},
         {"upstream-gone",
          {Cause::kUpstreamGone, "the flow's upstream had left"}},
         {"upstream-dead",
          {Cause::kUpstreamDark, "the upstream's flows had no answers"}},
         {"unknown-tag",
          {Cause::kUnknownTag, "no upstream was known for the flow's tag"}}};
    const auto found = kReasons.find(refusal.line.Value("reason"));
    if (found == kReasons.end()) {
      m_story.summary = "refused: " + refusal.line.Value("reason");
      return;
    }
    m_story.cause = found->second.first;
    m_story.summary =
        fmt::format("{}: refused by {} at {}", found->second.second,
                    refusal.host, FormatLogTime(refusal.time));
  }

  // Which daemons were running and knew too little when the request failed.
  void FindMissingBelief() {
    std::map<std::string, LogTime> started;
    std::map<std::string, std::string> lost;
    std::vector<std::string> gaps;
    for (const StoryLine& line : m_all) {
      const std::string& message = line.line.message;
      if (message == "started") {
        started[line.host] = line.time;
        lost[line.host].clear();
      } else if (message == "store lost") {
        lost[line.host] = line.line.Value("reason");
      } else if (message == "ready" && started.contains(line.host)) {
        AddGap(line.host, started[line.host], line.time, lost[line.host],
               &gaps);
        started.erase(line.host);
      }
    }
    for (const auto& [host, time] : started) {
      AddGap(host, time, LogTime::max(), lost[host], &gaps);
    }
    if (gaps.empty()) {
      m_story.summary = "no line is about it, and no daemon lacked a belief";
      return;
    }
    m_story.cause = Cause::kNoBelief;
    m_story.summary = "packets waited for a belief: " +
                      fmt::format("{}", fmt::join(gaps, "; "));
  }

  void AddGap(const std::string& host,
              LogTime begin,
              LogTime end,
              const std::string& reason,
              std::vector<std::string>* gaps) const {
    const LogTime at = *m_subject.at;
    if (at < begin || at > end) {
      return;
    }
    gaps->push_back(fmt::format(
        "{} started at {} and {}{}", host, FormatLogTime(begin),
        end == LogTime::max() ? "is not ready yet"
                              : "was ready at " + FormatLogTime(end),
        reason.empty() ? "" : ", store lost: " + reason));
  }

  Subject m_subject;
  std::vector<StoryLine> m_all;
  std::map<std::string, std::string> m_domains;
  std::vector<StoryLine> m_own;
  std::set<std::string> m_upstreams;
  // The daemons that took part.
  std::set<std::string> m_hosts;
  LogTime m_begin;
  LogTime m_end;
  Story m_story;
};

}  // namespace

Story TellStory(const std::vector<LogFile>& files, const Subject& subject) {
  return Teller(files, subject).Tell();
}

}  // namespace poplarsail::explain
