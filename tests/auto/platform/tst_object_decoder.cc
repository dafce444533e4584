#include <catch2/catch.hpp>

#include "platform/object_decoder.h"

namespace poplarsail::platform {
namespace {

using cluster_state::ObjectKind;
using nlohmann::json;
using namespace std::chrono_literals;

const cluster_state::SteadyTime kNow{1'000s};

ObjectIdentity Identity(const std::string& name) {
  return {name, 7};
}

json UpstreamSpec() {
  return json::parse(R"({"service":"huvo11a","address":"10.128.0.9:8080",
    "zone":"regina","version":"v1","slots":2,"state":"ready",
    "cold_left_ms":1500,"seq":4,"born":1700000000000})");
}

json ConfigurationSpec() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"r-a","host":"198.18.0.1","path_prefix":"/8443/","type":"safe",
     "timeout_ms":500,"aim_ms":120,"priority":2,"backends":[
       {"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10},
       {"service":"none","weight":0}],"max_attempts":2},
    {"name":"r-b","host":"198.18.0.2","path_prefix":"/8080/","type":"unsafe",
     "timeout_ms":600,"aim_ms":150,"priority":1,"service":"huvo11a"}],
   "services":[{"name":"huvo11a","health_path":"/health","max_conns":2000,
     "protocol":"h1","tls":false,"cold_start_s":2.0,"cold_per_s":4.5}],
   "limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,
     "idle_timeout_ms":15000}})");
}

TEST_CASE("An upstream registration is decoded") {
  const auto entry = std::get<cluster_state::ClusterState::UpstreamEntry>(
      DecodeObject(ObjectKind::kUpstreams, Identity("i-7f3a91c2"),
                   UpstreamSpec(), kNow));
  CHECK(entry.name == "i-7f3a91c2");
  CHECK(entry.revision == 7);
  REQUIRE(entry.value.has_value());
  CHECK(entry.value->id == 0x7f3a91c2);
  CHECK(entry.value->service == "huvo11a");
  CHECK(model::ToString(entry.value->endpoint) == "10.128.0.9:8080");
  CHECK(entry.value->failure_domain == "regina");
  CHECK(entry.value->phase == cluster_state::UpstreamPhase::kServing);
  CHECK(entry.value->cold_until == kNow + 1500ms);
  CHECK(entry.value->started_unix_ms == 1700000000000);
}

TEST_CASE("A registration with a missing or invalid field is rejected") {
  json spec = UpstreamSpec();
  SECTION("no service") {
    spec.erase("service");
  }
  SECTION("no address") {
    spec.erase("address");
  }
  SECTION("the address is no endpoint") {
    spec["address"] = "10.1.2.3";
  }
  SECTION("the port is out of range") {
    spec["address"] = "10.1.2.3:70000";
  }
  SECTION("an address of another family") {
    spec["address"] = "[::1]:80";
  }
  SECTION("the zone is a number") {
    spec["zone"] = 4;
  }
  SECTION("an unknown state") {
    spec["state"] = "resting";
  }
  SECTION("the state is null") {
    spec["state"] = nullptr;
  }
  SECTION("the slots are text") {
    spec["slots"] = "2";
  }
  SECTION("the slots are a fraction") {
    spec["slots"] = 2.5;
  }
  SECTION("no remaining cold start") {
    spec.erase("cold_left_ms");
  }
  SECTION("the remaining cold start is a list") {
    spec["cold_left_ms"] = json::array();
  }
  SECTION("no version") {
    spec.erase("version");
  }
  SECTION("no sequence") {
    spec.erase("seq");
  }
  SECTION("a list") {
    spec = json::array();
  }
  SECTION("a string") {
    spec = "ready";
  }
  SECTION("null") {
    spec = nullptr;
  }
  CHECK_THROWS_AS(
      DecodeObject(ObjectKind::kUpstreams, Identity("i-7f3a91c2"), spec, kNow),
      MalformedObjectError);
}

// Guards against conversions of numbers that their types can't hold, which may
// yield any time or, with sanitizers, end the process.
TEST_CASE("A registration with a number out of range is rejected") {
  json spec = UpstreamSpec();
  SECTION("a cold start of ages") {
    spec["cold_left_ms"] = GENERATE(json(1e308), json(1e19), json(UINT64_MAX));
  }
  SECTION("slots above 64 bits with a sign") {
    spec["slots"] = UINT64_MAX;
  }
  SECTION("a sequence above 64 bits with a sign") {
    spec["seq"] = UINT64_MAX;
  }
  SECTION("a port out of range") {
    spec["address"] = GENERATE("10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:-1",
                               "10.1.2.3:+80", "10.1.2.3:18446744073709551696");
  }
  CHECK_THROWS_AS(
      DecodeObject(ObjectKind::kUpstreams, Identity("i-7f3a91c2"), spec, kNow),
      MalformedObjectError);
}

TEST_CASE("A registration with an address of no single host is rejected") {
  json spec = UpstreamSpec();
  spec["address"] =
      GENERATE(as<std::string>(), "0.0.0.0:80", "224.0.0.1:80",
               "255.255.255.255:80", std::string("10.1.2.3\0x:80", 13));
  CHECK_THROWS_AS(
      DecodeObject(ObjectKind::kUpstreams, Identity("i-7f3a91c2"), spec, kNow),
      MalformedObjectError);
}

TEST_CASE("A start time out of range counts as not stated") {
  json spec = UpstreamSpec();
  spec["born"] = GENERATE(json(UINT64_MAX), json(1e300), json("now"));
  const auto entry = std::get<cluster_state::ClusterState::UpstreamEntry>(
      DecodeObject(ObjectKind::kUpstreams, Identity("i-7f3a91c2"), spec, kNow));
  CHECK(entry.value->started_unix_ms == 0);
}

TEST_CASE("A registration without a valid id in its name is rejected") {
  const std::string name = GENERATE("", "xyz", "i-0", "i-11112222333344445");
  CHECK_THROWS_AS(DecodeObject(ObjectKind::kUpstreams, Identity(name),
                               UpstreamSpec(), kNow),
                  MalformedObjectError);
}

TEST_CASE("The configuration is decoded") {
  const auto entry = std::get<cluster_state::ClusterState::ConfigurationEntry>(
      DecodeObject(ObjectKind::kConfiguration, Identity("main"),
                   ConfigurationSpec(), kNow));
  REQUIRE(entry.value.has_value());
  CHECK(entry.value->version == 7);
  REQUIRE(entry.value->listeners.size() == 2);
  const cluster_state::ListenerRecord& listener = entry.value->listeners[0];
  CHECK(model::ToString(listener.endpoint) == "198.18.0.1:8443");
  CHECK(listener.shares == std::vector<cluster_state::ServiceShare>{
                               {"huvo11a", 90}, {"wuno96b", 10}});
  CHECK(listener.priority == 2);
  CHECK(listener.latency_target == 120ms);
  CHECK(listener.timeout == 500ms);
  CHECK(entry.value->listeners[1].priority == 1);
  CHECK(entry.value->listeners[1].shares ==
        std::vector<cluster_state::ServiceShare>{{"huvo11a", 1}});
  REQUIRE(entry.value->services.size() == 1);
  CHECK(entry.value->services[0].cold_flows_per_second == 4.5);
  CHECK(entry.value->flow_idle_timeout == 15s);
}

// A malformed value that only scheduling needs must not reject a configuration
// that was accepted before.
TEST_CASE("Malformed optional fields of a route count as not stated") {
  const json value =
      GENERATE(json("high"), json(-1), json(1.5), json(1e12),
               json(int64_t{1} << 40), json(UINT64_MAX), json(nullptr));
  json spec = ConfigurationSpec();
  spec["routes"][0]["priority"] = value;
  spec["routes"][0]["aim_ms"] = value;
  spec["routes"][0]["timeout_ms"] = value;
  const auto entry = std::get<cluster_state::ClusterState::ConfigurationEntry>(
      DecodeObject(ObjectKind::kConfiguration, Identity("main"), spec, kNow));
  REQUIRE(entry.value.has_value());
  CHECK(entry.value->listeners[0].priority == std::nullopt);
  CHECK(entry.value->listeners[0].latency_target == 0ms);
  CHECK(entry.value->listeners[0].timeout == 0ms);
}

TEST_CASE("An invalid configuration is rejected as a whole") {
  json spec = ConfigurationSpec();
  SECTION("no version") {
    spec.erase("version");
  }
  SECTION("no routes") {
    spec.erase("routes");
  }
  SECTION("a route without address") {
    spec["routes"][0].erase("host");
  }
  SECTION("a route with a name for its address") {
    spec["routes"][0]["host"] = "tally.example";
  }
  SECTION("a route without port") {
    spec["routes"][0]["path_prefix"] = "//";
  }
  SECTION("a share without service") {
    spec["routes"][0]["backends"][0].erase("service");
  }
  SECTION("no limits") {
    spec.erase("limits");
  }
  SECTION("a weight out of range") {
    spec["routes"][0]["backends"][0]["weight"] = int64_t{1} << 40;
  }
  SECTION("a version above 64 bits with a sign") {
    spec["version"] = UINT64_MAX;
  }
  CHECK_THROWS_AS(
      DecodeObject(ObjectKind::kConfiguration, Identity("main"), spec, kNow),
      MalformedObjectError);
}

TEST_CASE("An idle timeout of ages is limited to a day") {
  json spec = ConfigurationSpec();
  spec["limits"]["idle_timeout_ms"] = INT64_MAX;
  const auto entry = std::get<cluster_state::ClusterState::ConfigurationEntry>(
      DecodeObject(ObjectKind::kConfiguration, Identity("main"), spec, kNow));
  CHECK(entry.value->flow_idle_timeout == 24h);
}

TEST_CASE("The name of an evacuation is its failure domain") {
  const auto entry =
      std::get<cluster_state::ClusterState::EvacuationEntry>(DecodeObject(
          ObjectKind::kEvacuations, Identity("regina"), json::object(), kNow));
  CHECK(entry.value->failure_domain == "regina");
}

}  // namespace
}  // namespace poplarsail::platform
