// CPU time and network traffic of failure detection on one host, by fleet size.

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace poplarsail::membership {
namespace {

constexpr int64_t kStepMs = 20;
constexpr int64_t kRunMs = 10'000;
constexpr double kUdpOverheadBytes = 28;

// Simulates ten seconds of a fleet without packet loss. Counters are per host.
void BM_FailureDetection(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  std::vector<std::string> names;
  std::map<std::string, int> index;
  for (int i = 0; i < count; ++i) {
    names.push_back("host" + std::to_string(i));
    index[names.back()] = i;
  }
  double bytes = 0;
  double messages = 0;
  for (auto _ : state) {
    std::vector<std::unique_ptr<FailureDetector>> detectors;
    for (int i = 0; i < count; ++i) {
      detectors.push_back(std::make_unique<FailureDetector>(
          names[i], i, model::FromUnixMillis(0)));
      detectors.back()->SetPeers(names, model::FromUnixMillis(0));
    }
    bytes = 0;
    messages = 0;
    std::vector<OutgoingMessage> queue;
    for (int64_t now = 0; now < kRunMs; now += kStepMs) {
      const TimePoint time = model::FromUnixMillis(now);
      const std::vector<OutgoingMessage> due = std::move(queue);
      queue.clear();
      const auto send = [&](const std::vector<OutgoingMessage>& items) {
        for (const OutgoingMessage& item : items) {
          bytes += static_cast<double>(Encode(item.message).size()) +
                   kUdpOverheadBytes;
          ++messages;
          queue.push_back(item);
        }
      };
      for (const OutgoingMessage& item : due) {
        send(detectors[index[item.to]]->Receive(item.message, time));
      }
      for (const auto& detector : detectors) {
        send(detector->Tick(time));
      }
    }
  }
  const double host_seconds = count * kRunMs / 1'000.0;
  state.counters["bytes_per_second"] = bytes / host_seconds;
  state.counters["messages_per_second"] = messages / host_seconds;
  state.counters["host_seconds"] = host_seconds;
}
BENCHMARK(BM_FailureDetection)
    ->Arg(9)
    ->Arg(50)
    ->Arg(200)
    ->Arg(600)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

}  // namespace
}  // namespace poplarsail::membership
