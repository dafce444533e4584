// Drives several hosts, a store that is restored from copies, and writers that
// write again at their own times, in random order: responses come late, peers
// exchange states between hosts of different eras.
#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/cluster_state_codec.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ClusterState;
using cluster_state::Configuration;
using cluster_state::Evacuation;
using cluster_state::milliseconds;
using cluster_state::ObjectKind;
using cluster_state::StoreVersion;
using cluster_state::UpstreamPhase;
using cluster_state::UpstreamRecord;
using namespace std::chrono_literals;

constexpr size_t kHosts = 3;
constexpr size_t kAddresses = 4;
// A registration is removed this long after its owner's last heartbeat.
constexpr milliseconds kLease = 2'300ms;

struct Registration {
  UpstreamRecord record;
  uint64_t revision = 0;
  cluster_state::SteadyTime last_heartbeat;
};

struct Event {
  uint64_t revision = 0;
  ClusterState::UpstreamEntry entry;
};

struct StoreState {
  std::map<std::string, Registration> upstreams;
  std::optional<ClusterState::ConfigurationEntry> configuration;
  uint64_t revision = 1;
};

// A process that registers itself.
struct Owner {
  UpstreamRecord record;
  // It has to write its registration (again).
  bool is_dirty = true;
  bool is_running = true;
};

// A response of the store that has not reached its host yet.
struct Response {
  size_t host = 0;
  bool is_list = false;
  StoreVersion version;
  uint64_t from = 0;
  std::vector<ClusterState::UpstreamEntry> upstreams;
  std::optional<ClusterState::ConfigurationEntry> configuration;
};

class World {
 public:
  World() {
    m_store.configuration = MakeConfigurationEntry(1, 1);
    m_operator_version = 1;
    m_copy = m_store;
    for (size_t i = 0; i < kAddresses; ++i) {
      StartOwner(i);
    }
    for (size_t host = 0; host < kHosts; ++host) {
      RequestList(host);
    }
    DeliverAll();
  }

  // One step, chosen by `choice` with parameter `value`.
  void Step(int choice, size_t value) {
    m_adopting_host.reset();
    switch (choice) {
      case 0:
        return StartOwner(value % kAddresses);
      case 1:
        return DrainOwner(value);
      case 2:
        return StopOwner(value);
      case 3:
        m_copy = m_store;
        return;
      case 4:
        return Restore();
      case 5:
        return WriteOwners();
      case 6:
        ++m_operator_version;
        return WriteConfiguration();
      case 7:
        return WriteConfiguration();
      case 8:
        return RequestList(value % kHosts);
      case 9:
        return RequestWatch(value % kHosts);
      case 10:
        return Deliver(value);
      case 11:
        return Exchange(value % kHosts, value / kHosts % kHosts);
      default:
        return Advance(milliseconds(100 * (1 + value % 20)));
    }
  }

  // Lets all writers write and all hosts list, until nothing is provisional.
  void Settle() {
    m_responses.clear();
    for (int i = 0; i < 30; ++i) {
      WriteOwners();
      WriteConfiguration();
      Advance(500ms);
      for (size_t host = 0; host < kHosts; ++host) {
        RequestList(host);
      }
      DeliverAll();
    }
  }

  // Returns a description of a broken promise, or an empty string.
  std::string Check() {
    if (m_has_lost_live_upstream) {
      return "a live upstream was taken out of use by a restore";
    }
    for (size_t host = 0; host < kHosts; ++host) {
      const ClusterState& state = m_hosts[host];
      const StoreVersion& listed = state.listed_version(ObjectKind::kUpstreams);
      if (listed < m_last_listed[host]) {
        return "a host went back behind its version";
      }
      m_last_listed[host] = listed;
      const int64_t version =
          state.configuration() ? state.configuration()->version : 0;
      if (version < m_last_configuration[host]) {
        return "a host went back behind its configuration";
      }
      m_last_configuration[host] = version;
      if (const std::string broken = CheckUpstreams(host); !broken.empty()) {
        return broken;
      }
      m_visited.insert(ToText(KnownVersionsOf(state)) + Describe(state));
    }
    return "";
  }

  std::string CheckSettled() const {
    std::string expected;
    for (const auto& [name, registration] : m_store.upstreams) {
      expected += DescribeUpstream(name, registration.record);
    }
    for (const ClusterState& state : m_hosts) {
      if (Describe(state) != expected) {
        return "after quiet a host differs from the store: " + Describe(state) +
               " instead of " + expected;
      }
      if (state.configuration()->version != m_operator_version) {
        return "after quiet a host has another configuration";
      }
    }
    return "";
  }

  const std::set<std::string>& visited() const { return m_visited; }

 private:
  static ClusterState::ConfigurationEntry MakeConfigurationEntry(
      int64_t version,
      uint64_t revision) {
    Configuration configuration;
    configuration.version = version;
    return {"main", revision, configuration};
  }

  static std::string DescribeUpstream(const std::string& name,
                                      const UpstreamRecord& record) {
    return name + "@" + std::to_string(record.started_unix_ms) +
           (record.phase == UpstreamPhase::kDraining ? "d " : " ");
  }

  static std::string Describe(const ClusterState& state) {
    std::string text;
    for (const auto& [name, known] : state.upstreams()) {
      if (!known.is_unregistered) {
        text += DescribeUpstream(name, known.record);
      }
    }
    return text;
  }

  // Two upstreams in use never share an address, and a process that a host saw
  // leave is not in use again at that host unless the store still has its
  // registration after the quarantine.
  std::string CheckUpstreams(size_t host) {
    std::map<model::Ipv4Endpoint, std::string> users;
    for (const auto& [name, known] : m_hosts[host].upstreams()) {
      if (known.is_unregistered) {
        m_departed[host][name] = known.record.started_unix_ms;
        continue;
      }
      const bool is_shared =
          !users.try_emplace(known.record.endpoint, name).second;
      if (is_shared && m_has_restored) {
        return "two upstreams in use share an address";
      }
      const auto departed = m_departed[host].find(name);
      const bool is_dead_again =
          departed != m_departed[host].end() &&
          departed->second == known.record.started_unix_ms &&
          !m_store.upstreams.contains(name);
      if (is_dead_again && m_adopting_host == host) {
        return "an upstream that had left is in use again";
      }
      m_departed[host].erase(name);
    }
    return "";
  }

  void StartOwner(size_t address) {
    for (Owner& owner : m_owners) {
      if (owner.record.endpoint.port == address && owner.is_running) {
        return;
      }
    }
    Owner owner;
    owner.record.id = ++m_last_id;
    owner.record.service = m_last_id % 2 == 0 ? "tally" : "archive";
    owner.record.endpoint = {0x0a000001, static_cast<uint16_t>(address)};
    owner.record.failure_domain = "regina";
    owner.record.started_unix_ms = static_cast<int64_t>(m_last_id) * 1'000;
    m_owners.push_back(owner);
    WriteOwners();
  }

  void DrainOwner(size_t index) {
    Owner& owner = m_owners[index % m_owners.size()];
    owner.record.phase = UpstreamPhase::kDraining;
    owner.is_dirty = true;
    WriteOwners();
  }

  void StopOwner(size_t index) {
    Owner& owner = m_owners[index % m_owners.size()];
    if (!owner.is_running || owner.record.phase != UpstreamPhase::kDraining) {
      return;
    }
    owner.is_running = false;
    Remove(Name(owner.record));
  }

  static std::string Name(const UpstreamRecord& record) {
    return "u" + std::to_string(record.id);
  }

  void WriteOwners() {
    for (Owner& owner : m_owners) {
      if (!owner.is_running) {
        continue;
      }
      Registration& registration = m_store.upstreams[Name(owner.record)];
      registration.last_heartbeat = m_now;
      if (registration.record == owner.record) {
        continue;
      }
      registration.record = owner.record;
      registration.revision = ++m_store.revision;
      m_events.push_back(
          {m_store.revision,
           {Name(owner.record), m_store.revision, owner.record}});
    }
  }

  void WriteConfiguration() {
    if (m_store.configuration->value->version == m_operator_version) {
      return;
    }
    m_store.configuration =
        MakeConfigurationEntry(m_operator_version, ++m_store.revision);
  }

  void Remove(const std::string& name) {
    if (m_store.upstreams.erase(name) > 0) {
      m_events.push_back(
          {++m_store.revision, {name, m_store.revision, std::nullopt}});
    }
  }

  void Restore() {
    m_store = m_copy;
    ++m_era;
    m_events.clear();
    m_first_watchable = m_store.revision;
    m_has_restored = true;
    // The store grants every registration a new lease.
    for (auto& [name, registration] : m_store.upstreams) {
      registration.last_heartbeat = m_now;
    }
  }

  Response MakeList(size_t host) const {
    Response response;
    response.host = host;
    response.is_list = true;
    response.version = {m_era, m_store.revision};
    response.configuration = m_store.configuration;
    for (const auto& [name, registration] : m_store.upstreams) {
      response.upstreams.push_back(
          {name, registration.revision, registration.record});
    }
    return response;
  }

  void RequestList(size_t host) { m_responses.push_back(MakeList(host)); }

  void RequestWatch(size_t host) {
    const StoreVersion& from =
        m_hosts[host].listed_version(ObjectKind::kUpstreams);
    const bool is_gone =
        from.revision < m_first_watchable || from.revision > m_store.revision;
    if (is_gone) {
      return RequestList(host);
    }
    Response response;
    response.host = host;
    response.version = {m_era, m_store.revision};
    response.from = from.revision;
    for (const Event& event : m_events) {
      if (event.revision > from.revision) {
        response.upstreams.push_back(event.entry);
      }
    }
    m_responses.push_back(response);
  }

  void Deliver(size_t index) {
    if (m_responses.empty()) {
      return;
    }
    const auto position = m_responses.begin() +
                          static_cast<ptrdiff_t>(index % m_responses.size());
    const Response response = *position;
    m_responses.erase(position);
    Apply(response);
  }

  void DeliverAll() {
    while (!m_responses.empty()) {
      Deliver(0);
    }
  }

  // As StoreWatcher applies lists and watches.
  void Apply(const Response& response) {
    ClusterState& state = m_hosts[response.host];
    const StoreVersion listed = state.listed_version(ObjectKind::kUpstreams);
    if (response.version.era > listed.era) {
      m_adopting_host = response.host;
    }
    const std::set<std::string> in_use = LiveUpstreamsInUse(state);
    if (response.is_list) {
      state.ApplyList<UpstreamRecord>(
          ObjectKind::kUpstreams, response.upstreams, response.version, m_now);
      state.ApplyList<Configuration>(ObjectKind::kConfiguration,
                                     {*response.configuration},
                                     response.version, m_now);
      RecordLostUpstreams(in_use, state);
      return;
    }
    // A watch is used only if it continues what the host knows.
    if (response.version.era != listed.era || response.from > listed.revision) {
      return;
    }
    for (const ClusterState::UpstreamEntry& entry : response.upstreams) {
      state.Apply(entry, m_now);
    }
    state.MarkListed(ObjectKind::kUpstreams, response.version);
  }

  // Names of the upstreams in use whose owners run and serve.
  std::set<std::string> LiveUpstreamsInUse(const ClusterState& state) const {
    std::set<std::string> names;
    for (const Owner& owner : m_owners) {
      const auto known = state.upstreams().find(Name(owner.record));
      const bool is_live =
          owner.is_running && owner.record.phase == UpstreamPhase::kServing &&
          known != state.upstreams().end() && !known->second.is_unregistered;
      if (is_live) {
        names.insert(known->first);
      }
    }
    return names;
  }

  // The first list after a restore must take no live upstream out of use.
  void RecordLostUpstreams(const std::set<std::string>& in_use,
                           const ClusterState& state) {
    if (m_adopting_host &&
        !std::ranges::includes(LiveUpstreamsInUse(state), in_use)) {
      m_has_lost_live_upstream = true;
    }
  }

  void Exchange(size_t from, size_t to) {
    if (from == to) {
      return;
    }
    const KnownVersions known = KnownVersionsOf(m_hosts[to]);
    if (!IsNewer(m_hosts[from], known)) {
      return;
    }
    if (m_hosts[from].listed_version(ObjectKind::kUpstreams).era >
        m_hosts[to].listed_version(ObjectKind::kUpstreams).era) {
      m_adopting_host = to;
    }
    const std::set<std::string> in_use = LiveUpstreamsInUse(m_hosts[to]);
    MergeClusterState(EncodeClusterState(&m_hosts[from], known, {}, m_now),
                      &m_hosts[to], m_now);
    RecordLostUpstreams(in_use, m_hosts[to]);
  }

  void Advance(milliseconds time) {
    m_now += time;
    for (const Owner& owner : m_owners) {
      const auto found = m_store.upstreams.find(Name(owner.record));
      if (owner.is_running && found != m_store.upstreams.end()) {
        found->second.last_heartbeat = m_now;
      }
    }
    std::vector<std::string> lapsed;
    for (const auto& [name, registration] : m_store.upstreams) {
      if (m_now - registration.last_heartbeat >= kLease) {
        lapsed.push_back(name);
      }
    }
    for (const std::string& name : lapsed) {
      Remove(name);
    }
    for (ClusterState& state : m_hosts) {
      state.RemoveExpired(m_now);
    }
  }

  cluster_state::SteadyTime m_now{1'000s};
  uint64_t m_era = 1;
  StoreState m_store;
  StoreState m_copy;
  std::vector<Event> m_events;
  uint64_t m_first_watchable = 0;
  std::vector<Owner> m_owners;
  uint64_t m_last_id = 0;
  int64_t m_operator_version = 0;
  std::vector<Response> m_responses;
  ClusterState m_hosts[kHosts];
  StoreVersion m_last_listed[kHosts];
  int64_t m_last_configuration[kHosts] = {};
  std::map<std::string, int64_t> m_departed[kHosts];
  bool m_has_restored = false;
  // The host that took over a later era in this step.
  std::optional<size_t> m_adopting_host;
  bool m_has_lost_live_upstream = false;
  std::set<std::string> m_visited;
};

constexpr int kStepKinds = 15;
constexpr size_t kSteps = 150;

using Steps = std::vector<std::pair<int, size_t>>;

// Returns the first broken promise of a run, or an empty string.
std::string Play(const Steps& steps, std::set<std::string>* visited) {
  World world;
  for (const auto& [choice, value] : steps) {
    world.Step(choice, value);
    if (const std::string broken = world.Check(); !broken.empty()) {
      return broken;
    }
  }
  world.Settle();
  visited->insert(world.visited().begin(), world.visited().end());
  return world.CheckSettled();
}

Steps RandomSteps() {
  // The whole range of values from the first case on.
  return *rc::gen::resize(
      rc::kNominalSize,
      rc::gen::container<Steps>(
          kSteps, rc::gen::pair(rc::gen::inRange(0, kStepKinds),
                                rc::gen::inRange<size_t>(0, 60))));
}

TEST_CASE("Hosts keep to the store's latest era and lose nothing") {
  std::set<std::string> visited;
  CHECK(rc::check([&visited]() {
    const std::string broken = Play(RandomSteps(), &visited);
    RC_LOG() << broken;
    RC_ASSERT(broken.empty());
  }));
  std::cout << "visited " << visited.size() << " states of hosts\n";
}

}  // namespace
}  // namespace poplarsail::entry
