#include <catch2/catch.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "entry/entry.h"
#include "platform/http_state_store.h"
#include "standins/fake_platform_store.h"
#include "standins/platform_objects.h"

namespace poplarsail::platform {
namespace {

using cluster_state::ObjectKind;
using standins::StoreMode;
using namespace std::chrono_literals;

constexpr entry::CurrencyBounds kBounds{4s, 3s, 3s, 5s};

// A host's store watchers and a fake store.
class Fixture {
 public:
  Fixture() {
    Configure(1);
    Register(1, "ready");
    for (const ObjectKind kind :
         {ObjectKind::kConfiguration, ObjectKind::kUpstreams,
          ObjectKind::kEvacuations}) {
      m_watchers.push_back(std::make_unique<entry::StoreWatcher>(
          &m_context, &m_state_store, &m_gate, &m_floor, kind,
          entry::ComputeWatchTiming(kBounds, kind), &state, []() {}));
      boost::asio::co_spawn(m_context, m_watchers.back()->Run(),
                            boost::asio::detached);
    }
    RunUntil([this]() { return state.IsComplete(); });
  }

  void Configure(int64_t version) {
    store.Put("config", "main",
              standins::ConfigurationSpec(version, {}, {"tally"}));
  }
  void Register(uint32_t id, const std::string& phase) {
    store.Put("servers", "i-" + std::to_string(id),
              standins::RegistrationSpec("tally", {0x0a000000 + id, 80},
                                         "regina", phase));
  }
  void Evacuate(const std::string& domain) {
    store.Put("evacuations", domain, nlohmann::json::object());
  }

  bool IsInForce(int64_t version) const {
    return state.configuration()->version == version;
  }
  bool IsDraining(const std::string& name) const {
    return state.upstreams().at(name).record.phase ==
           cluster_state::UpstreamPhase::kDraining;
  }

  // Returns how long it took until `condition` held.
  std::chrono::steady_clock::duration RunUntil(
      const std::function<bool()>& condition) {
    const auto start = std::chrono::steady_clock::now();
    while (!condition()) {
      REQUIRE(m_context.run_one() > 0);
    }
    return std::chrono::steady_clock::now() - start;
  }
  void RunFor(std::chrono::milliseconds time) {
    boost::asio::steady_timer timer(m_context, time);
    bool is_over = false;
    timer.async_wait([&](const auto&) { is_over = true; });
    RunUntil([&]() { return is_over; });
  }

 private:
  boost::asio::io_context m_context;

 public:
  standins::FakePlatformStore store{
      &m_context,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
  cluster_state::ClusterState state;

 private:
  HttpStateStore m_state_store{&m_context, store.endpoint()};
  entry::RetryGate m_gate{&m_context};
  entry::VersionFloor m_floor;
  std::vector<std::unique_ptr<entry::StoreWatcher>> m_watchers;
};

// Watches that are sent while the store is silent are lost. The platform's
// bounds apply again once the store has served for `detect_silence`.
TEST_CASE("Changes after a short silence of the store are in force in time") {
  Fixture fixture;
  fixture.Configure(2);
  fixture.Register(2, "ready");
  fixture.Evacuate("brandon");
  fixture.RunUntil([&]() {
    return fixture.IsInForce(2) && fixture.state.upstreams().contains("i-2") &&
           fixture.state.IsEvacuated("brandon");
  });
  fixture.store.set_mode(StoreMode::kUnresponsive);
  fixture.RunFor(800ms);
  fixture.store.set_mode(StoreMode::kServe);
  fixture.Configure(3);
  fixture.Register(1, "draining");
  fixture.Evacuate("regina");
  const auto drained =
      fixture.RunUntil([&]() { return fixture.IsDraining("i-1"); });
  const auto configured =
      drained + fixture.RunUntil([&]() { return fixture.IsInForce(3); });
  const auto evacuated = configured + fixture.RunUntil([&]() {
    return fixture.state.IsEvacuated("regina");
  });
  CHECK(drained < std::max(kBounds.detect_silence, kBounds.drain));
  CHECK(configured < std::max(kBounds.detect_silence, kBounds.configuration));
  CHECK(evacuated < std::max(kBounds.detect_silence, kBounds.evacuation));
}

}  // namespace
}  // namespace poplarsail::platform
