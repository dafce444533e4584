// Time and memory of steering: decisions, flow table, plans, keeper maps.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <vector>

#include "steering/steering.h"

namespace poplarsail::steering {
namespace {

const TimePoint kNow = model::FromUnixMillis(1'700'000'000'000);
constexpr std::chrono::milliseconds kAnnounce{2'500};

DesiredService MakeGoal(int service, int upstreams) {
  DesiredService goal;
  goal.service = "s" + std::to_string(service);
  goal.address = {boost::asio::ip::address_v4(0xcb007100 + service), 443};
  for (int i = 0; i < upstreams; ++i) {
    goal.upstreams.push_back({"u" + std::to_string(i),
                              {boost::asio::ip::address_v4(0xc0000200 + i), 80},
                              "d" + std::to_string(i % 4),
                              1});
  }
  return goal;
}

PlanTiming At(TimePoint now) {
  return {now, now + kAnnounce, now + kAnnounce};
}

ServicePlanPtr MakePlan(int service, int upstreams) {
  return std::make_shared<const ServicePlan>(
      *NextPlan(nullptr, MakeGoal(service, upstreams), At(kNow)));
}

std::shared_ptr<const ReplicaMap> MakeMembers(int count) {
  std::vector<Member> members;
  for (int i = 0; i < count; ++i) {
    members.push_back({"e" + std::to_string(i),
                       "d" + std::to_string(i % 4),
                       {boost::asio::ip::address_v4(0x0a000000 + i), 6081}});
  }
  const std::vector<std::string> domains = {"d0", "d1", "d2", "d3"};
  return std::make_shared<const ReplicaMap>(std::move(members), domains);
}

PacketSummary MakePacket(uint32_t index, const ServicePlan& plan) {
  PacketSummary packet;
  packet.key.source =
      ToAddressBytes(boost::asio::ip::address_v4(0x0a000000 + index / 50'000));
  packet.key.source_port = static_cast<uint16_t>(index % 50'000);
  packet.key.destination = ToAddressBytes(plan.address().address);
  packet.key.destination_port = plan.address().port;
  packet.key.protocol = kProtocolTcp;
  packet.is_connection_oriented = true;
  return packet;
}

// A router with a service of 14 upstreams of which one drains.
struct DrainFixture {
  explicit DrainFixture(size_t capacity) : router("e0", capacity) {
    router.SetMembers(MakeMembers(1), kNow - std::chrono::hours(24));
    DesiredService goal = MakeGoal(1, 14);
    const auto first = NextPlan(nullptr, goal, At(kNow));
    goal.upstreams[0].weight = 0;
    plan =
        std::make_shared<const ServicePlan>(*NextPlan(&*first, goal, At(kNow)));
    router.SetPlan(plan);
  }

  // Flows of buckets that are in transition, or not.
  std::vector<PacketSummary> Packets(size_t count, bool in_transition) const {
    std::vector<PacketSummary> packets;
    for (uint32_t i = 0; packets.size() < count; ++i) {
      const PacketSummary packet = MakePacket(i, *plan);
      const uint64_t hash = HashFlow(packet.key, plan->hash_seed());
      const bool is_moved = !plan->OwnerChanges(plan->BucketOf(hash)).empty();
      if (is_moved == in_transition) {
        packets.push_back(packet);
      }
    }
    std::shuffle(packets.begin(), packets.end(), std::mt19937(7));
    return packets;
  }

  Router router;
  ServicePlanPtr plan;
};

void DecideAll(benchmark::State& state,
               Router* router,
               const std::vector<PacketSummary>& packets) {
  const TimePoint now = kNow + kAnnounce;
  size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(router->Decide(packets[next], nullptr, now));
    next = next + 1 == packets.size() ? 0 : next + 1;
  }
}

void BM_DecideStableBucket(benchmark::State& state) {
  DrainFixture fixture(state.range(0));
  DecideAll(state, &fixture.router, fixture.Packets(state.range(0), false));
}
BENCHMARK(BM_DecideStableBucket)->Arg(10'000)->Arg(100'000)->Arg(500'000);

void BM_DecideRecordedFlow(benchmark::State& state) {
  DrainFixture fixture(state.range(0));
  auto packets = fixture.Packets(state.range(0), true);
  for (PacketSummary& packet : packets) {
    packet.opens_flow = true;
    fixture.router.Decide(packet, nullptr, kNow + kAnnounce);
    packet.opens_flow = false;
    fixture.router.Decide(packet, nullptr, kNow + kAnnounce);
  }
  DecideAll(state, &fixture.router, packets);
  state.counters["records"] =
      static_cast<double>(fixture.router.flows().CountLive(kNow + kAnnounce));
  state.counters["bytes_per_flow"] =
      static_cast<double>(fixture.router.flows().memory_bytes()) /
      static_cast<double>(packets.size());
}
BENCHMARK(BM_DecideRecordedFlow)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Arg(500'000)
    ->Arg(2'000'000);

void BM_DecideUnrecordedFlow(benchmark::State& state) {
  DrainFixture fixture(500'000);
  DecideAll(state, &fixture.router, fixture.Packets(state.range(0), true));
}
BENCHMARK(BM_DecideUnrecordedFlow)->Arg(500'000);

void BM_DecideFirstPacket(benchmark::State& state) {
  DrainFixture fixture(500'000);
  auto packets = fixture.Packets(400'000, true);
  for (PacketSummary& packet : packets) {
    packet.opens_flow = true;
  }
  DecideAll(state, &fixture.router, packets);
}
BENCHMARK(BM_DecideFirstPacket);

void BM_ParsePacket(benchmark::State& state) {
  std::vector<uint8_t> packet(40);
  packet[0] = 0x45;
  packet[3] = 40;
  packet[9] = kProtocolTcp;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParsePacket(packet));
  }
}
BENCHMARK(BM_ParsePacket);

// One upstream of a service drains: the work of a change.
void BM_PlanChange(benchmark::State& state) {
  const int upstreams = static_cast<int>(state.range(0));
  DesiredService goal = MakeGoal(1, upstreams);
  const auto first = NextPlan(nullptr, goal, At(kNow));
  goal.upstreams[0].weight = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(NextPlan(&*first, goal, At(kNow)));
  }
  state.counters["plan_bytes"] = static_cast<double>(first->memory_bytes());
}
BENCHMARK(BM_PlanChange)
    ->Arg(4)
    ->Arg(14)
    ->Arg(400)
    ->Unit(benchmark::kMicrosecond);

// All services of the target: 6,800 with 25,000 upstreams.
void BM_AllPlans(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  size_t bytes = 0;
  for (auto _ : state) {
    Router router("e0", 1'024);
    bytes = 0;
    for (int i = 0; i < services; ++i) {
      const auto plan = MakePlan(i, 3 + (i % 3 == 0 ? 1 : 0) + i % 2);
      bytes += plan->memory_bytes();
      router.SetPlan(plan);
    }
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_AllPlans)
    ->Arg(680)
    ->Arg(6'800)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

// A change of members: every slot is chosen anew.
void BM_KeeperMap(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(MakeMembers(static_cast<int>(state.range(0))));
  }
}
BENCHMARK(BM_KeeperMap)
    ->Arg(9)
    ->Arg(50)
    ->Arg(300)
    ->Arg(2'400)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace poplarsail::steering
