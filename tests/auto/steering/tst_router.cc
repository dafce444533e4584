#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>

#include "steering/steering.h"

namespace poplarsail::steering {
namespace {

const TimePoint kStart = model::FromUnixMillis(1'700'000'000'000);
const TimePoint kLongBefore = kStart - std::chrono::hours(24);
constexpr std::chrono::milliseconds kAnnounce{2'500};

PlanTiming TimingAt(TimePoint now) {
  return {now, now + kAnnounce, now + std::chrono::milliseconds(1'000)};
}

// Upstreams of service `number` are named "s<number>-<index>".
DesiredService MakeDesiredService(int number, int upstreams) {
  DesiredService desired;
  desired.service = "s" + std::to_string(number);
  desired.address = {boost::asio::ip::address_v4(0xcb007100 + number), 443};
  desired.hash_seed = 99;
  for (int i = 0; i < upstreams; ++i) {
    desired.upstreams.push_back(
        {desired.service + "-" + std::to_string(i),
         {boost::asio::ip::address_v4(0xc0000200 + 16 * number + i), 443},
         "d0",
         1});
  }
  return desired;
}

ServicePlanPtr MakeDrainingPlan(int number, int upstreams) {
  DesiredService desired = MakeDesiredService(number, upstreams);
  const auto first = NextPlan(nullptr, desired, TimingAt(kStart));
  desired.upstreams[0].weight = 0;
  return std::make_shared<const ServicePlan>(
      *NextPlan(&*first, desired, TimingAt(kStart)));
}

PacketSummary MakePacket(const ServicePlan& plan,
                         uint32_t flow,
                         bool opens_flow) {
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

// Returns the router of the only host of a fleet, which stores all records.
Router MakeRouter(size_t capacity) {
  Router router("e1", capacity);
  const std::vector<std::string> domains = {"d0"};
  router.SetMembers(std::make_shared<const ReplicaMap>(
                        std::vector<Member>{{"e1", "d0", {}}}, domains),
                    kLongBefore);
  return router;
}

// Returns the first flow, counting from `from`, whose bucket is in transition.
uint32_t FindMovedFlow(const ServicePlan& plan, uint32_t from) {
  for (uint32_t flow = from;; ++flow) {
    const auto key = MakePacket(plan, flow, false).key;
    if (!plan.OwnerChanges(plan.BucketOf(HashFlow(key, plan.hash_seed())))
             .empty()) {
      return flow;
    }
  }
}

TEST_CASE("a packet for no service is dropped") {
  Router router = MakeRouter(1'024);
  const auto plan = MakeDrainingPlan(1, 3);
  const Decision decision =
      router.Decide(MakePacket(*plan, 1, true), nullptr, kStart);
  CHECK(decision.action == Action::kDrop);
  CHECK(decision.drop_reason == DropReason::kUnknownService);
}

TEST_CASE("a flow in transition is steered by record, oldest owner and time") {
  Router router = MakeRouter(1'024);
  const auto plan = MakeDrainingPlan(1, 3);
  router.SetPlan(plan);
  const uint32_t old_flow = FindMovedFlow(*plan, 0);
  const uint32_t new_flow = FindMovedFlow(*plan, old_flow + 1);
  const TimePoint active = kStart + kAnnounce;
  // Without a record: the flow began at the oldest owner, which drains.
  const auto old_decision =
      router.Decide(MakePacket(*plan, old_flow, false), nullptr, active);
  CHECK(old_decision.cause == DecisionCause::kOldestOwner);
  CHECK(old_decision.upstream->name == "s1-0");
  const auto first =
      router.Decide(MakePacket(*plan, new_flow, true), nullptr, active);
  CHECK(first.cause == DecisionCause::kFirstPacket);
  CHECK(first.upstream->name != "s1-0");
  const auto later =
      router.Decide(MakePacket(*plan, new_flow, false), nullptr, active);
  CHECK(later.cause == DecisionCause::kRecord);
  CHECK(later.upstream == first.upstream);
}

TEST_CASE(
    "a retransmitted first packet goes to the upstream of the first one") {
  Router router = MakeRouter(1'024);
  const auto plan = MakeDrainingPlan(1, 3);
  router.SetPlan(plan);
  const uint32_t flow = FindMovedFlow(*plan, 0);
  const TimePoint before = kStart + kAnnounce - std::chrono::milliseconds(500);
  const auto first =
      router.Decide(MakePacket(*plan, flow, true), nullptr, before);
  const auto repeated = router.Decide(MakePacket(*plan, flow, true), nullptr,
                                      before + std::chrono::seconds(1));
  CHECK(first.upstream->name == "s1-0");
  CHECK(repeated.upstream == first.upstream);
  // After the flow was open, a first packet opens a new flow with the same
  // ports.
  router.Decide(MakePacket(*plan, flow, false), nullptr,
                before + std::chrono::seconds(2));
  const auto reused = router.Decide(MakePacket(*plan, flow, true), nullptr,
                                    before + std::chrono::seconds(60));
  CHECK(reused.upstream->name != "s1-0");
}

TEST_CASE("the lifetime of a record depends on the phase of its flow") {
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
    const auto plan = MakeDrainingPlan(1, 3);
    router.SetPlan(plan);
    const uint32_t flow = FindMovedFlow(*plan, 0);
    const TimePoint now = kStart + kAnnounce;
    router.Decide(MakePacket(*plan, flow, true), nullptr, now);
    if (item.is_open) {
      router.Decide(MakePacket(*plan, flow, false), nullptr, now);
    }
    if (item.is_closed) {
      PacketSummary last = MakePacket(*plan, flow, false);
      last.ends_flow = true;
      router.Decide(last, nullptr, now);
    }
    constexpr std::chrono::seconds kRounding{8};
    CHECK(router.flows().CountLive(now + item.lifetime) == 1);
    CHECK(router.flows().CountLive(now + item.lifetime + kRounding) == 0);
  }
}

// UDP packets of old and new flows can't be told apart. A flow counts as old if
// it sends a packet between the announcement of an owner change and its
// activation.
TEST_CASE("a connectionless flow stays if it sends before the activation") {
  Router router = MakeRouter(1'024);
  DesiredService desired = MakeDesiredService(1, 3);
  desired.protocol = model::Protocol::kUdp;
  const auto first = NextPlan(nullptr, desired, TimingAt(kStart));
  desired.upstreams[0].weight = 0;
  const auto plan = std::make_shared<const ServicePlan>(
      *NextPlan(&*first, desired, TimingAt(kStart)));
  router.SetPlan(plan);
  const auto find_moved_packet = [&plan](uint32_t from) {
    for (uint32_t flow = from;; ++flow) {
      PacketSummary packet = MakePacket(*plan, flow, false);
      packet.key.protocol = kProtocolUdp;
      packet.is_connection_oriented = false;
      const uint64_t hash = HashFlow(packet.key, plan->hash_seed());
      if (!plan->OwnerChanges(plan->BucketOf(hash)).empty()) {
        return packet;
      }
    }
  };
  const PacketSummary sent_before = find_moved_packet(0);
  const PacketSummary silent = find_moved_packet(1'000);
  router.Decide(sent_before, nullptr, kStart + std::chrono::seconds(1));
  const TimePoint active = kStart + kAnnounce;
  CHECK(router.Decide(sent_before, nullptr, active).upstream->name == "s1-0");
  const auto moved = router.Decide(silent, nullptr, active);
  CHECK(moved.upstream->name != "s1-0");
  CHECK(router.Decide(silent, nullptr, active).upstream == moved.upstream);
}

TEST_CASE(
    "a connectionless flow of a rebalanced bucket stays for a quiet period") {
  Router router = MakeRouter(1'024);
  DesiredService desired = MakeDesiredService(1, 1);
  desired.protocol = model::Protocol::kUdp;
  const auto first = NextPlan(nullptr, desired, TimingAt(kStart));
  DesiredService larger = MakeDesiredService(1, 2);
  larger.protocol = model::Protocol::kUdp;
  const auto plan = std::make_shared<const ServicePlan>(
      *NextPlan(&*first, larger, TimingAt(kStart)));
  router.SetPlan(plan);
  PacketSummary packet;
  for (uint32_t flow = 0;; ++flow) {
    packet = MakePacket(*plan, flow, false);
    packet.key.protocol = kProtocolUdp;
    packet.is_connection_oriented = false;
    const uint64_t hash = HashFlow(packet.key, plan->hash_seed());
    if (!plan->OwnerChanges(plan->BucketOf(hash)).empty()) {
      break;
    }
  }
  const TimePoint active = kStart + kAnnounce;
  const auto quiet = active + kConnectionlessQuietPeriod;
  CHECK(router.Explain(packet, active).upstream->name == "s1-0");
  CHECK(router.Decide(packet, nullptr, quiet).upstream->name == "s1-1");
}

TEST_CASE("a flood of first packets breaks no open flow") {
  constexpr uint32_t kOpenFlows = 500;
  constexpr uint32_t kFloodPackets = 200'000;
  Router router = MakeRouter(1'024);
  const auto plan = MakeDrainingPlan(1, 3);
  router.SetPlan(plan);
  const TimePoint now = kStart + kAnnounce;
  std::vector<std::pair<uint32_t, const PlannedUpstream*>> open;
  uint32_t flow = 0;
  for (uint32_t i = 0; i < kOpenFlows; ++i) {
    flow = FindMovedFlow(*plan, flow + 1);
    const auto first =
        router.Decide(MakePacket(*plan, flow, true), nullptr, now);
    router.Decide(MakePacket(*plan, flow, false), nullptr, now);
    open.emplace_back(flow, first.upstream);
  }
  uint32_t dropped = 0;
  for (uint32_t i = 0; i < kFloodPackets; ++i) {
    const auto decision =
        router.Decide(MakePacket(*plan, ++flow, true), nullptr, now);
    const bool is_dropped = decision.action == Action::kDrop;
    dropped += is_dropped ? 1 : 0;
    if (is_dropped) {
      CHECK(decision.drop_reason == DropReason::kTableFull);
    }
  }
  CHECK(dropped > 0);
  for (const auto& [number, upstream] : open) {
    const auto decision =
        router.Decide(MakePacket(*plan, number, false), nullptr, now);
    CHECK(decision.upstream == upstream);
  }
}

TEST_CASE("a plan of an older generation is ignored") {
  Router router = MakeRouter(1'024);
  const auto newer = MakeDrainingPlan(1, 3);
  const auto older = std::make_shared<const ServicePlan>(
      *NextPlan(nullptr, MakeDesiredService(1, 3), TimingAt(kStart)));
  CHECK(router.SetPlan(newer));
  CHECK_FALSE(router.SetPlan(older));
  CHECK(router.FindPlan("s1") == newer);
}

TEST_CASE("a service that takes over an address replaces the old one") {
  Router router = MakeRouter(1'024);
  router.SetPlan(MakeDrainingPlan(1, 3));
  DesiredService desired = MakeDesiredService(2, 2);
  desired.address = MakeDesiredService(1, 1).address;
  const auto taken_over = std::make_shared<const ServicePlan>(
      *NextPlan(nullptr, desired, TimingAt(kStart)));
  router.SetPlan(taken_over);
  router.RemoveService("s1");
  const auto decision =
      router.Decide(MakePacket(*taken_over, 1, true), nullptr, kStart);
  REQUIRE(decision.action == Action::kForward);
  CHECK(decision.upstream->name.starts_with("s2-"));
}

// A packet stays within its service for any relay header that a host sends.
TEST_CASE("no packet crosses services") {
  Router router = MakeRouter(4'096);
  const std::vector<ServicePlanPtr> plans = {MakeDrainingPlan(1, 3),
                                             MakeDrainingPlan(2, 5)};
  for (const auto& plan : plans) {
    router.SetPlan(plan);
  }
  CHECK(rc::check([&](uint32_t flow, bool opens_flow, uint8_t raw, uint8_t hops,
                      uint32_t upstream, bool is_relayed) {
    for (const auto& plan : plans) {
      const RelayHeader header{.purpose = raw % 2 == 0 ? RelayPurpose::kResolve
                                                       : RelayPurpose::kRecord,
                               .hops = hops,
                               .sender_has_copy = raw % 4 < 2,
                               .generation = raw,
                               .upstream = upstream % 8};
      const Decision decision =
          router.Decide(MakePacket(*plan, flow, opens_flow),
                        is_relayed ? &header : nullptr, kStart + kAnnounce);
      const bool stays =
          decision.action != Action::kForward ||
          decision.upstream->name.starts_with(plan->service() + "-");
      RC_ASSERT(stays);
    }
  }));
}

TEST_CASE("hosts with the same members choose the same replica hosts") {
  std::vector<Member> members;
  for (int i = 0; i < 9; ++i) {
    members.push_back(
        {"e" + std::to_string(i), "d" + std::to_string(i % 3), {}});
  }
  const std::vector<std::string> domains = {"d0", "d1", "d2", "d3"};
  const ReplicaMap map(members, domains);
  std::reverse(members.begin(), members.end());
  const ReplicaMap other(members, domains);
  for (uint32_t slot = 0; slot < kReplicaSlots; ++slot) {
    for (const std::string& domain : domains) {
      const auto here = map.Candidates(map.DomainIndexOf(domain), slot);
      const auto there = other.Candidates(other.DomainIndexOf(domain), slot);
      REQUIRE(std::equal(here.begin(), here.end(), there.begin(), there.end()));
      // The second replica host is in another failure domain than the first.
      REQUIRE(here.size() == kReplicaCandidates);
      if (domain != "d3") {
        REQUIRE(map.members()[here[0]].failure_domain == domain);
        REQUIRE(map.members()[here[1]].failure_domain != domain);
      }
    }
  }
}

}  // namespace
}  // namespace poplarsail::steering
