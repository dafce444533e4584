#ifndef EXPLAIN_STORY_H_
#define EXPLAIN_STORY_H_

#include <optional>
#include <string>
#include <vector>

#include "explain/clock_alignment.h"
#include "explain/log_file.h"

namespace poplarsail::explain {

// How far before and after its subject a story looks for causes.
inline constexpr std::chrono::milliseconds kStoryReach{5'000};

// What a story is about; one of the first two is set.
struct Subject {
  // The caller's address and port.
  std::string flow;
  // Id of an upstream, as the log writes it.
  std::string upstream;
  // When the request failed; only needed for a flow without any line.
  std::optional<LogTime> at;
};

struct StoryLine {
  // Corrected for the daemon's clock.
  LogTime time;
  std::string host;
  LogLine line;
};

enum class Cause : uint8_t {
  kNoTrace,
  kNothingFailed,
  kUpstreamDark,
  kDomainCut,
  kDomainLost,
  kHostStalled,
  kNoBelief,
  kNoUpstream,
  kNoListener,
  kUpstreamGone,
  kUnknownTag,
};

struct Story {
  std::vector<StoryLine> lines;
  Cause cause = Cause::kNoTrace;
  // The cause in words, with its evidence.
  std::string summary;
  // Daemons whose clocks were corrected, in words.
  std::vector<std::string> clocks;
};

Story TellStory(const std::vector<LogFile>& files, const Subject& subject);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_STORY_H_
