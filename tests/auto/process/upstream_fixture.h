#ifndef TESTS_AUTO_PROCESS_UPSTREAM_FIXTURE_H_
#define TESTS_AUTO_PROCESS_UPSTREAM_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <iterator>
#include <regex>
#include <string>
#include <vector>

#include "process/process_fixture.h"

namespace poplarsail::process {

inline constexpr const char* kUpstream = "i-00000001";
inline constexpr std::chrono::milliseconds kDrainBound{3'000};

// A daemon with one upstream, whose drain it has to follow.
struct UpstreamFixture : ProcessFixture {
  explicit UpstreamFixture(int network) : ProcessFixture(network) {
    PutUpstream("ready");
  }

  void PutUpstream(const std::string& state) {
    store().Put("servers", kUpstream,
                standins::RegistrationSpec("tally", {0x7f170901, 8'080},
                                           "regina", state));
  }

  // The last revision of upstreams that the daemon took, in a list or watch.
  uint64_t TakenRevision() {
    static const std::regex kLine(
        "msg=\"(?:list|changes) taken\" kind=upstreams .*revision=(\\d+)");
    const std::string log = Log(daemon());
    uint64_t revision = 0;
    for (auto line = std::sregex_iterator(log.begin(), log.end(), kLine);
         line != std::sregex_iterator(); ++line) {
      revision = std::max<uint64_t>(revision, std::stoull((*line)[1]));
    }
    return revision;
  }

  // Whether the daemon takes a drain in time.
  bool FollowsDrain() {
    PutUpstream("draining");
    const uint64_t revision = store().revision();
    return RunUntil([&]() { return TakenRevision() >= revision; }, kDrainBound);
  }
};

// Specs of 900 KB, most of them with all fields of a registration.
inline std::vector<std::string> LargeSpecs() {
  const std::string text(900'000, 'x');
  std::vector<std::string> specs;
  for (const char* key : {"service", "zone", "version", "state", "address"}) {
    nlohmann::json spec = standins::RegistrationSpec(
        "tally", {0x7f170909, 8'080}, "regina", "ready");
    spec[key] = text;
    specs.push_back(spec.dump());
  }
  std::string arrays = "[[]";
  for (size_t i = 0; i < 300'000; ++i) {
    arrays += ",[]";
  }
  specs.push_back(arrays + "]");
  specs.push_back(text);
  specs.push_back("\"" + text);
  return specs;
}

}  // namespace poplarsail::process

#endif  // TESTS_AUTO_PROCESS_UPSTREAM_FIXTURE_H_
