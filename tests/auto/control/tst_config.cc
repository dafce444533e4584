#include <catch2/catch.hpp>

#include <algorithm>

#include "control/control.h"
#include "standins/memory_object_store.h"

namespace poplarsail::control {
namespace {

using model::Object;
using objects::WatchEvent;
using objects::WatchEventType;

const model::TimePoint kNow = model::FromUnixMillis(1'700'000'000'000);

Object MakeObject(const std::string& kind,
                  const std::string& name,
                  nlohmann::json spec,
                  uint64_t version = 0) {
  Object object;
  object.key = {kind, name};
  object.spec = std::move(spec);
  object.status = nlohmann::json::object();
  object.resource_version = version;
  return object;
}

Object DomainObject(const std::string& state, uint64_t version) {
  return MakeObject("FailureDomain", "regina", {{"state", state}}, version);
}

Object ServiceObject() {
  return MakeObject("Service", "tally", {{"address", "203.0.113.10:443"}});
}

Object UpstreamObject(const std::string& name, int number) {
  return MakeObject(
      "Upstream", name,
      {{"service", "tally"},
       {"address", "192.0.2." + std::to_string(number) + ":443"},
       {"failureDomain", number % 2 == 0 ? "regina" : "brandon"}});
}

steering::PlanTiming Timing() {
  return {kNow, kNow + std::chrono::milliseconds(2'500),
          kNow + std::chrono::milliseconds(1'000)};
}

TEST_CASE("no event replaces an object by an older version") {
  struct Case {
    WatchEvent event;
    ApplyResult expected;
    bool is_evacuated;
  };
  ConfigState config;
  const std::vector<Case> cases = {
      {{WatchEventType::kPut, DomainObject("out", 5)},
       ApplyResult::kApplied,
       true},
      {{WatchEventType::kPut, DomainObject("in", 4)},
       ApplyResult::kStale,
       true},
      {{WatchEventType::kPut, DomainObject("in", 5)},
       ApplyResult::kStale,
       true},
      {{WatchEventType::kDeleted, DomainObject("in", 3)},
       ApplyResult::kStale,
       true},
      {{WatchEventType::kPut, DomainObject("sideways", 6)},
       ApplyResult::kInvalid,
       true},
      {{WatchEventType::kPut, DomainObject("in", 7)},
       ApplyResult::kApplied,
       false},
      {{WatchEventType::kDeleted, DomainObject("in", 8)},
       ApplyResult::kApplied,
       false},
  };
  for (const Case& item : cases) {
    CHECK(config.Apply(item.event) == item.expected);
    CHECK(config.IsDomainEvacuated("regina") == item.is_evacuated);
  }
  CHECK(config.version() == 8);
}

TEST_CASE(
    "a rejected object has a reason and leaves the last valid one in effect") {
  ConfigState config;
  config.Apply({WatchEventType::kPut, DomainObject("out", 1)});
  config.Apply({WatchEventType::kPut, DomainObject("sideways", 2)});
  const auto reason = config.rejected_objects().at({"FailureDomain", "regina"});
  CHECK_THAT(reason, Catch::Contains("FailureDomain/regina") &&
                         Catch::Contains("\"state\"") &&
                         Catch::Contains("is not one of: in, out"));
  config.Apply({WatchEventType::kPut, DomainObject("in", 3)});
  CHECK(config.rejected_objects().empty());
}

TEST_CASE("a list older than the known version is ignored as a whole") {
  ConfigState config;
  config.Apply({WatchEventType::kPut, DomainObject("out", 9)});
  CHECK(config.ReplaceAll({7, {}}) == ApplyResult::kStale);
  CHECK(config.IsDomainEvacuated("regina"));
  CHECK(config.ReplaceAll({10, {}}) == ApplyResult::kApplied);
  CHECK_FALSE(config.IsDomainEvacuated("regina"));
}

TEST_CASE("upstreams of an evacuated domain are not desired") {
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  store.Put(UpstreamObject("u2", 2));
  store.Put(DomainObject("out", 0));
  ConfigState config;
  config.ReplaceAll(store.List(""));
  const auto desired = config.DesiredServiceFor(config.services().at("tally"));
  REQUIRE(desired.upstreams.size() == 1);
  CHECK(desired.upstreams[0].name == "u1");
  CHECK(config.RequestUpstreamsFor("tally").size() == 1);
}

TEST_CASE("two concurrent planners write one plan") {
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  ConfigState first;
  ConfigState second;
  first.ReplaceAll(store.List(""));
  second.ReplaceAll(store.List(""));
  const auto& service = first.services().at("tally");
  const auto plan = NextPlanObject(first, service, 1, Timing());
  const auto other = NextPlanObject(second, service, 2, Timing());
  REQUIRE(plan);
  REQUIRE(other);
  const Object stored = objects::PutWithReadBack(&store, *plan, 3);
  CHECK_THROWS_AS(objects::PutWithReadBack(&store, *other, 3),
                  objects::ConflictError);
  second.Apply({WatchEventType::kPut, stored});
  CHECK_FALSE(NextPlanObject(second, service, 2, Timing()));
}

TEST_CASE("a plan is not written twice if the response to the write was lost") {
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  ConfigState config;
  config.ReplaceAll(store.List(""));
  const auto plan =
      NextPlanObject(config, config.services().at("tally"), 1, Timing());
  store.faults().responses_to_drop = 1;
  const Object stored = objects::PutWithReadBack(&store, *plan, 3);
  CHECK(store.version() == stored.resource_version);
  CHECK(stored.generation == 1);
}

TEST_CASE("a plan of an older generation does not replace a newer one") {
  ConfigState config;
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  config.ReplaceAll(store.List(""));
  const auto& service = config.services().at("tally");
  auto plan = *NextPlanObject(config, service, 1, Timing());
  plan.resource_version = 10;
  plan.spec["generation"] = 7;
  config.Apply({WatchEventType::kPut, plan});
  plan.resource_version = 11;
  plan.spec["generation"] = 6;
  config.Apply({WatchEventType::kPut, plan});
  CHECK(config.plans().at("tally")->generation() == 7);
}

TEST_CASE("a malformed plan is rejected and listed with its name") {
  ConfigState config;
  const std::vector<nlohmann::json> specs = {
      {},
      {{"address", "nowhere"}},
      {{"address", "192.0.2.1:1"}, {"chains", 3}}};
  uint64_t version = 1;
  for (const auto& spec : specs) {
    CHECK(config.Apply({WatchEventType::kPut,
                        MakeObject("Plan", "tally", spec, version++)}) ==
          ApplyResult::kInvalid);
  }
  CHECK(config.plans().empty());
  CHECK(config.rejected_objects().contains({"Plan", "tally"}));
}

TEST_CASE(
    "the planner of a service does not depend on the order of the hosts") {
  const PlannerAssignment choice({"e1", "e2", "e3", "e4"});
  const PlannerAssignment reversed({"e4", "e3", "e2", "e1"});
  for (const std::string service : {"tally", "archive", "receipts"}) {
    CHECK_FALSE(choice.PlannerOf(service).empty());
    CHECK(choice.PlannerOf(service) == reversed.PlannerOf(service));
  }
  CHECK(PlannerAssignment({}).PlannerOf("tally").empty());
}

TEST_CASE("hosts store replicas only in the period given by their status") {
  ConfigState config;
  Object host =
      MakeObject("EntryHost", "e1",
                 {{"address", "127.0.0.1"}, {"failureDomain", "regina"}}, 1);
  config.Apply({WatchEventType::kPut, host});
  CHECK(steering::ReplicaHostsAt(config.Members(1), kNow).empty());
  host.resource_version = 2;
  host.status[kReplicaFromKey] = model::ToUnixMillis(kNow);
  config.Apply({WatchEventType::kPut, host});
  CHECK(steering::ReplicaHostsAt(config.Members(1), kNow).size() == 1);
  host.resource_version = 3;
  host.status[kReplicaUntilKey] = model::ToUnixMillis(kNow) + 1;
  config.Apply({WatchEventType::kPut, host});
  CHECK(steering::ReplicaHostsAt(config.Members(1), kNow).size() == 1);
  CHECK(steering::ReplicaHostsAt(config.Members(1),
                                 kNow + std::chrono::milliseconds(1))
            .empty());
}

}  // namespace
}  // namespace poplarsail::control
