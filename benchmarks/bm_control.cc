// Memory and CPU time of the configuration on one daemon.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <vector>

#include "control/control.h"

namespace poplarsail::control {
namespace {

const model::TimePoint kNow = model::FromUnixMillis(1'700'000'000'000);
// Upstreams per service at the target scale: 25,000 upstreams behind 6,800
// service addresses.
constexpr int kUpstreamsPerService = 4;

model::Object MakeObject(const std::string& kind,
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

std::string MakeAddress(uint32_t base, int number) {
  return boost::asio::ip::address_v4(base + number).to_string() + ":443";
}

steering::PlanTiming Timing() {
  return {kNow, kNow + std::chrono::seconds(2), kNow + std::chrono::seconds(1)};
}

// Fills a configuration with services and upstreams. Returns its version.
uint64_t FillConfig(ConfigState* config, int services) {
  uint64_t version = 0;
  using objects::WatchEventType;
  for (int i = 0; i < services; ++i) {
    const std::string name = "s" + std::to_string(i);
    config->Apply(
        {WatchEventType::kPut,
         MakeObject("Service", name, {{"address", MakeAddress(0xcb000000, i)}},
                    ++version)});
  }
  for (int i = 0; i < services * kUpstreamsPerService; ++i) {
    config->Apply({WatchEventType::kPut,
                   MakeObject("Upstream", "u" + std::to_string(i),
                              {{"service",
                                "s" + std::to_string(i / kUpstreamsPerService)},
                               {"address", MakeAddress(0x0a000000, i)},
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
    FillConfig(&config, services);
    const size_t with_resources = mallinfo2().uordblks;
    // All plans have the same shape, so one is computed and stored under the
    // name of each service.
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

// Looks up the planner of a service, which is done for each service after each
// change.
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

// Time to find out that a service needs no new plan.
void BM_NextPlanUnchanged(benchmark::State& state) {
  ConfigState config;
  FillConfig(&config, static_cast<int>(state.range(0)));
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
