// Memory and processor time of the configuration on one daemon.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <vector>

#include "control/control.h"

namespace poplarsail::control {
namespace {

const model::TimePoint kNow = model::FromUnixMillis(1'700'000'000'000);
// Upstreams of a service at the target: 25,000 behind 6,800 addresses.
constexpr int kUpstreamsPerService = 4;

model::Object Make(const std::string& kind,
                   const std::string& name,
                   nlohmann::json spec,
                   uint64_t version) {
  model::Object object;
  object.key = {kind, name};
  object.spec = std::move(spec);
  object.status = nlohmann::json::object();
  object.resource_version = version;
  return object;
}

std::string Address(uint32_t base, int number) {
  return boost::asio::ip::address_v4(base + number).to_string() + ":443";
}

steering::PlanTiming Timing() {
  return {kNow, kNow + std::chrono::seconds(2), kNow + std::chrono::seconds(1)};
}

// A configuration with plans. Returns the newest version.
uint64_t Fill(ConfigState* config, int services) {
  uint64_t version = 0;
  using objects::WatchEventType;
  for (int i = 0; i < services; ++i) {
    const std::string name = "s" + std::to_string(i);
    config->Apply({WatchEventType::kPut,
                   Make("Service", name, {{"address", Address(0xcb000000, i)}},
                        ++version)});
  }
  for (int i = 0; i < services * kUpstreamsPerService; ++i) {
    config->Apply(
        {WatchEventType::kPut,
         Make("Upstream", "u" + std::to_string(i),
              {{"service", "s" + std::to_string(i / kUpstreamsPerService)},
               {"address", Address(0x0a000000, i)},
               {"failureDomain", "d" + std::to_string(i % 4)}},
              ++version)});
  }
  return version;
}

void BM_ConfigMemory(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  for (auto _ : state) {
    const size_t before = mallinfo2().uordblks;
    ConfigState config;
    Fill(&config, services);
    const size_t with_resources = mallinfo2().uordblks;
    // All plans look alike; one is made and stored under each name.
    auto plan =
        *NextPlanObject(config, config.services().at("s0"), 1, Timing());
    uint64_t version = config.version();
    for (const auto& [name, service] : config.services()) {
      plan.key.name = name;
      plan.spec["service"] = name;
      plan.resource_version = ++version;
      config.Apply({objects::WatchEventType::kPut, plan});
    }
    const size_t with_plans = mallinfo2().uordblks;
    state.counters["resources_bytes"] =
        static_cast<double>(with_resources - before);
    state.counters["plans_bytes"] =
        static_cast<double>(with_plans - with_resources);
    state.counters["plan_wire_bytes"] =
        static_cast<double>(nlohmann::json::to_msgpack(plan.spec).size());
  }
}
BENCHMARK(BM_ConfigMemory)
    ->Arg(68)
    ->Arg(680)
    ->Arg(6'800)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Which host plans a service: asked for each service after each change.
void BM_PlannerOf(benchmark::State& state) {
  std::vector<std::string> hosts;
  for (int i = 0; i < state.range(0); ++i) {
    hosts.push_back("host" + std::to_string(i));
  }
  const PlannerAssignment choice(hosts);
  for (auto _ : state) {
    benchmark::DoNotOptimize(choice.PlannerOf("s1"));
  }
}
BENCHMARK(BM_PlannerOf)
    ->Arg(9)
    ->Arg(300)
    ->Arg(2'400)
    ->Unit(benchmark::kMicrosecond);

// The work of finding that a service needs no new plan.
void BM_NextPlanUnchanged(benchmark::State& state) {
  ConfigState config;
  Fill(&config, static_cast<int>(state.range(0)));
  const auto& service = config.services().at("s0");
  auto plan = *NextPlanObject(config, service, 1, Timing());
  plan.resource_version = config.version() + 1;
  config.Apply({objects::WatchEventType::kPut, plan});
  for (auto _ : state) {
    benchmark::DoNotOptimize(NextPlanObject(config, service, 1, Timing()));
  }
}
BENCHMARK(BM_NextPlanUnchanged)
    ->Arg(68)
    ->Arg(6'800)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace poplarsail::control
