#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>

#include "steering/steering.h"

namespace poplarsail::steering {
namespace {

const TimePoint kStart = model::FromUnixMillis(1'700'000'000'000);
const TimePoint kLongBefore = kStart - std::chrono::hours(24);
constexpr std::chrono::milliseconds kAnnounce{2'500};

PlanTiming At(TimePoint now) {
  return {now, now + kAnnounce, now + std::chrono::milliseconds(1'000)};
}

// Upstreams of service `number` are named "s<number>-<index>".
DesiredService GoalOf(int number, int upstreams) {
  DesiredService goal;
  goal.service = "s" + std::to_string(number);
  goal.address = {boost::asio::ip::address_v4(0xcb007100 + number), 443};
  goal.hash_seed = 99;
  for (int i = 0; i < upstreams; ++i) {
    goal.upstreams.push_back(
        {goal.service + "-" + std::to_string(i),
         {boost::asio::ip::address_v4(0xc0000200 + 16 * number + i), 443},
         "d0",
         1});
  }
  return goal;
}

ServicePlanPtr Draining(int number, int upstreams) {
  DesiredService goal = GoalOf(number, upstreams);
  const auto first = NextPlan(nullptr, goal, At(kStart));
  goal.upstreams[0].weight = 0;
  return std::make_shared<const ServicePlan>(
      *NextPlan(&*first, goal, At(kStart)));
}

PacketSummary Packet(const ServicePlan& plan, uint32_t flow, bool opens_flow) {
  PacketSummary packet;
  packet.key.source =
      ToAddressBytes(boost::asio::ip::address_v4(0x0a000000 + (flow >> 16)));
  packet.key.source_port = static_cast<uint16_t>(flow);
  packet.key.destination = ToAddressBytes(plan.address().address);
  packet.key.destination_port = plan.address().port;
  packet.key.protocol = kProtocolTcp;
  packet.opens_flow = opens_flow;
  packet.is_connection_oriented = true;
  return packet;
}

// A fleet of one host, which keeps all records.
Router MakeRouter(size_t capacity) {
  Router router("e1", capacity);
  const std::vector<std::string> domains = {"d0"};
  router.SetMembers(std::make_shared<const ReplicaMap>(
                        std::vector<Member>{{"e1", "d0", {}}}, domains),
                    kLongBefore);
  return router;
}

// A flow whose bucket is in transition.
uint32_t FindMovedFlow(const ServicePlan& plan, uint32_t from) {
  for (uint32_t flow = from;; ++flow) {
    const auto key = Packet(plan, flow, false).key;
    if (!plan.OwnerChanges(plan.BucketOf(HashFlow(key, plan.hash_seed()))).empty()) {
      return flow;
    }
  }
}

TEST_CASE("a packet for no service is dropped") {
  Router router = MakeRouter(1'024);
  const auto plan = Draining(1, 3);
  const Decision decision =
      router.Decide(Packet(*plan, 1, true), nullptr, kStart);
  CHECK(decision.action == Action::kDrop);
  CHECK(decision.drop_reason == DropReason::kUnknownService);
}

TEST_CASE("a flow in transition goes by record, base and time") {
  Router router = MakeRouter(1'024);
  const auto plan = Draining(1, 3);
  router.SetPlan(plan);
  const uint32_t old_flow = FindMovedFlow(*plan, 0);
  const uint32_t new_flow = FindMovedFlow(*plan, old_flow + 1);
  const TimePoint active = kStart + kAnnounce;
  // Not recorded: it began at the base, which drains.
  const auto old_decision =
      router.Decide(Packet(*plan, old_flow, false), nullptr, active);
  CHECK(old_decision.cause == DecisionCause::kBase);
  CHECK(old_decision.upstream->name == "s1-0");
  const auto first =
      router.Decide(Packet(*plan, new_flow, true), nullptr, active);
  CHECK(first.cause == DecisionCause::kFirstPacket);
  CHECK(first.upstream->name != "s1-0");
  const auto later =
      router.Decide(Packet(*plan, new_flow, false), nullptr, active);
  CHECK(later.cause == DecisionCause::kRecord);
  CHECK(later.upstream == first.upstream);
}

TEST_CASE("a repeated first packet stays where the first one went") {
  Router router = MakeRouter(1'024);
  const auto plan = Draining(1, 3);
  router.SetPlan(plan);
  const uint32_t flow = FindMovedFlow(*plan, 0);
  const TimePoint before = kStart + kAnnounce - std::chrono::milliseconds(500);
  const auto first = router.Decide(Packet(*plan, flow, true), nullptr, before);
  const auto repeated = router.Decide(Packet(*plan, flow, true), nullptr,
                                      before + std::chrono::seconds(1));
  CHECK(first.upstream->name == "s1-0");
  CHECK(repeated.upstream == first.upstream);
  // Once the flow was open, a first packet is a new flow with the same ports.
  router.Decide(Packet(*plan, flow, false), nullptr,
                before + std::chrono::seconds(2));
  const auto reused = router.Decide(Packet(*plan, flow, true), nullptr,
                                    before + std::chrono::seconds(60));
  CHECK(reused.upstream->name != "s1-0");
}

TEST_CASE("records expire by the phase of their flow") {
  struct Case {
    bool is_open;
    bool is_closed;
    std::chrono::milliseconds lifetime;
  };
  const std::vector<Case> cases = {{false, false, kHalfOpenTimeout},
                                   {true, false, kIdleTimeout},
                                   {true, true, kClosingTimeout}};
  for (const Case& item : cases) {
    Router router = MakeRouter(1'024);
    const auto plan = Draining(1, 3);
    router.SetPlan(plan);
    const uint32_t flow = FindMovedFlow(*plan, 0);
    const TimePoint now = kStart + kAnnounce;
    router.Decide(Packet(*plan, flow, true), nullptr, now);
    if (item.is_open) {
      router.Decide(Packet(*plan, flow, false), nullptr, now);
    }
    if (item.is_closed) {
      PacketSummary last = Packet(*plan, flow, false);
      last.ends_flow = true;
      router.Decide(last, nullptr, now);
    }
    constexpr std::chrono::seconds kRounding{8};
    CHECK(router.flows().CountLive(now + item.lifetime) == 1);
    CHECK(router.flows().CountLive(now + item.lifetime + kRounding) == 0);
  }
}

// UDP: old and new flows look alike; what shows while a change is announced is
// old.
TEST_CASE("a flow without marks stays if it sent during the announcement") {
  Router router = MakeRouter(1'024);
  DesiredService goal = GoalOf(1, 3);
  goal.protocol = model::Protocol::kUdp;
  const auto first = NextPlan(nullptr, goal, At(kStart));
  goal.upstreams[0].weight = 0;
  const auto plan =
      std::make_shared<const ServicePlan>(*NextPlan(&*first, goal, At(kStart)));
  router.SetPlan(plan);
  const auto udp = [&plan](uint32_t from) {
    for (uint32_t flow = from;; ++flow) {
      PacketSummary packet = Packet(*plan, flow, false);
      packet.key.protocol = kProtocolUdp;
      packet.is_connection_oriented = false;
      const uint64_t hash = HashFlow(packet.key, plan->hash_seed());
      if (!plan->OwnerChanges(plan->BucketOf(hash)).empty()) {
        return packet;
      }
    }
  };
  const PacketSummary sent_before = udp(0);
  const PacketSummary silent = udp(1'000);
  router.Decide(sent_before, nullptr, kStart + std::chrono::seconds(1));
  const TimePoint active = kStart + kAnnounce;
  CHECK(router.Decide(sent_before, nullptr, active).upstream->name == "s1-0");
  const auto moved = router.Decide(silent, nullptr, active);
  CHECK(moved.upstream->name != "s1-0");
  CHECK(router.Decide(silent, nullptr, active).upstream == moved.upstream);
}

TEST_CASE("a flow without marks stays for a while when its bucket balances") {
  Router router = MakeRouter(1'024);
  DesiredService goal = GoalOf(1, 1);
  goal.protocol = model::Protocol::kUdp;
  const auto first = NextPlan(nullptr, goal, At(kStart));
  DesiredService larger = GoalOf(1, 2);
  larger.protocol = model::Protocol::kUdp;
  const auto plan = std::make_shared<const ServicePlan>(
      *NextPlan(&*first, larger, At(kStart)));
  router.SetPlan(plan);
  PacketSummary packet;
  for (uint32_t flow = 0;; ++flow) {
    packet = Packet(*plan, flow, false);
    packet.key.protocol = kProtocolUdp;
    packet.is_connection_oriented = false;
    const uint64_t hash = HashFlow(packet.key, plan->hash_seed());
    if (!plan->OwnerChanges(plan->BucketOf(hash)).empty()) {
      break;
    }
  }
  const TimePoint active = kStart + kAnnounce;
  const auto quiet = active + kUnmarkedQuiet;
  CHECK(router.Explain(packet, active).upstream->name == "s1-0");
  CHECK(router.Decide(packet, nullptr, quiet).upstream->name == "s1-1");
}

TEST_CASE("a flood of first packets breaks no open flow") {
  constexpr uint32_t kOpenFlows = 500;
  constexpr uint32_t kFlood = 200'000;
  Router router = MakeRouter(1'024);
  const auto plan = Draining(1, 3);
  router.SetPlan(plan);
  const TimePoint now = kStart + kAnnounce;
  std::vector<std::pair<uint32_t, const PlannedUpstream*>> open;
  uint32_t flow = 0;
  for (uint32_t i = 0; i < kOpenFlows; ++i) {
    flow = FindMovedFlow(*plan, flow + 1);
    const auto first = router.Decide(Packet(*plan, flow, true), nullptr, now);
    router.Decide(Packet(*plan, flow, false), nullptr, now);
    open.emplace_back(flow, first.upstream);
  }
  uint32_t dropped = 0;
  for (uint32_t i = 0; i < kFlood; ++i) {
    const auto decision =
        router.Decide(Packet(*plan, ++flow, true), nullptr, now);
    const bool is_dropped = decision.action == Action::kDrop;
    dropped += is_dropped ? 1 : 0;
    if (is_dropped) {
      CHECK(decision.drop_reason == DropReason::kTableFull);
    }
  }
  CHECK(dropped > 0);
  for (const auto& [number, upstream] : open) {
    const auto decision =
        router.Decide(Packet(*plan, number, false), nullptr, now);
    CHECK(decision.upstream == upstream);
  }
}

TEST_CASE("a generation never goes back") {
  Router router = MakeRouter(1'024);
  const auto newer = Draining(1, 3);
  const auto older = std::make_shared<const ServicePlan>(
      *NextPlan(nullptr, GoalOf(1, 3), At(kStart)));
  CHECK(router.SetPlan(newer));
  CHECK_FALSE(router.SetPlan(older));
  CHECK(router.FindPlan("s1") == newer);
}

TEST_CASE("a service that takes over an address replaces the old one") {
  Router router = MakeRouter(1'024);
  router.SetPlan(Draining(1, 3));
  DesiredService goal = GoalOf(2, 2);
  goal.address = GoalOf(1, 1).address;
  const auto taken_over =
      std::make_shared<const ServicePlan>(*NextPlan(nullptr, goal, At(kStart)));
  router.SetPlan(taken_over);
  router.RemoveService("s1");
  const auto decision =
      router.Decide(Packet(*taken_over, 1, true), nullptr, kStart);
  REQUIRE(decision.action == Action::kForward);
  CHECK(decision.upstream->name.starts_with("s2-"));
}

// Whatever headers other hosts send, a packet stays within its service.
TEST_CASE("no packet crosses services") {
  Router router = MakeRouter(4'096);
  const std::vector<ServicePlanPtr> plans = {Draining(1, 3), Draining(2, 5)};
  for (const auto& plan : plans) {
    router.SetPlan(plan);
  }
  CHECK(rc::check([&](uint32_t flow, bool opens_flow, uint8_t raw, uint8_t hops,
                      uint32_t upstream, bool is_relayed) {
    for (const auto& plan : plans) {
      const RelayHeader header{.purpose = raw % 2 == 0 ? RelayPurpose::kResolve
                                                       : RelayPurpose::kRecord,
                               .hops = hops,
                               .sender_keeps_copy = raw % 4 < 2,
                               .generation = raw,
                               .upstream = upstream % 8};
      const Decision decision =
          router.Decide(Packet(*plan, flow, opens_flow),
                        is_relayed ? &header : nullptr, kStart + kAnnounce);
      const bool stays =
          decision.action != Action::kForward ||
          decision.upstream->name.starts_with(plan->service() + "-");
      RC_ASSERT(stays);
    }
  }));
}

TEST_CASE("hosts with the same members choose the same keepers") {
  std::vector<Member> members;
  for (int i = 0; i < 9; ++i) {
    members.push_back(
        {"e" + std::to_string(i), "d" + std::to_string(i % 3), {}});
  }
  const std::vector<std::string> domains = {"d0", "d1", "d2", "d3"};
  const ReplicaMap map(members, domains);
  std::reverse(members.begin(), members.end());
  const ReplicaMap other(members, domains);
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    for (const std::string& domain : domains) {
      const auto here = map.Candidates(map.GroupOf(domain), slot);
      const auto there = other.Candidates(other.GroupOf(domain), slot);
      REQUIRE(std::equal(here.begin(), here.end(), there.begin(), there.end()));
      // The second keeper stands in another domain than the first.
      REQUIRE(here.size() == kKeeperCandidates);
      if (domain != "d3") {
        REQUIRE(map.members()[here[0]].failure_domain == domain);
        REQUIRE(map.members()[here[1]].failure_domain != domain);
      }
    }
  }
}

}  // namespace
}  // namespace poplarsail::steering
