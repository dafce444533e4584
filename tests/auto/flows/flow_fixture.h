#ifndef TESTS_FLOWS_FLOW_FIXTURE_H_
#define TESTS_FLOWS_FLOW_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "flows/flows.h"

namespace poplarsail::flows {

using namespace std::chrono_literals;

inline const SteadyTime kStart{1'000s};
inline constexpr Ipv4Endpoint kTallyListener{0xc6120001, 8443};
inline constexpr Ipv4Endpoint kArchiveListener{0xc6120002, 8443};

// A cluster state with the services tally and archive, and a Steering that is
// updated from it.
class FlowFixture {
 public:
  FlowFixture() {
    m_configuration.version = 1;
    m_configuration.flow_idle_timeout = 15s;
    m_configuration.services = {{"tally", 0, "/health"},
                                {"archive", 0, "/health"}};
    m_configuration.listeners = {
        {"alerts", kTallyListener, {{"tally", 1}}},
        {"sheets", kArchiveListener, {{"archive", 1}}}};
    ApplyConfiguration();
    cluster_state.ApplyList<cluster_state::Evacuation>(
        cluster_state::ObjectKind::kEvacuations, {}, {0, 1}, now);
    cluster_state.ApplyList<cluster_state::UpstreamRecord>(
        cluster_state::ObjectKind::kUpstreams, {}, {0, 1}, now);
    Update();
  }

  static cluster_state::UpstreamRecord MakeUpstream(uint64_t id,
                                                    const std::string& service,
                                                    const std::string& domain) {
    cluster_state::UpstreamRecord record;
    record.id = id;
    record.service = service;
    record.endpoint = {0x0a010000 + static_cast<uint32_t>(id), 8080};
    record.failure_domain = domain;
    return record;
  }

  void AddUpstream(uint64_t id,
                   const std::string& service = "tally",
                   const std::string& domain = "regina") {
    PutUpstream(MakeUpstream(id, service, domain));
  }

  void PutUpstream(const cluster_state::UpstreamRecord& record) {
    cluster_state.Apply(
        cluster_state::ClusterState::UpstreamEntry{Name(record.id),
                                                   ++m_revision, record},
        now);
    Update();
  }

  void RemoveUpstream(uint64_t id) {
    cluster_state.Apply(
        cluster_state::ClusterState::UpstreamEntry{Name(id), ++m_revision,
                                                   std::nullopt},
        now);
    Update();
  }

  void Evacuate(const std::string& domain) {
    cluster_state.Apply(
        cluster_state::ClusterState::EvacuationEntry{
            domain, ++m_revision, cluster_state::Evacuation{domain}},
        now);
    Update();
  }

  void ApplyConfiguration() {
    const cluster_state::ClusterState::ConfigurationEntry entry{
        "main", ++m_revision, m_configuration};
    cluster_state.ApplyList<cluster_state::Configuration>(
        cluster_state::ObjectKind::kConfiguration, {entry}, {0, m_revision},
        now);
    Update();
  }

  cluster_state::Configuration& EditConfiguration() {
    ++m_configuration.version;
    return m_configuration;
  }

  void Update() { steering.Update(cluster_state, now); }

  static FlowKey Key(uint16_t port, const Ipv4Endpoint& listener) {
    return {{0x64400001, port}, listener};
  }

  static FlowPacket Syn(uint16_t port,
                        const Ipv4Endpoint& listener = kTallyListener,
                        uint32_t retransmit_count = 0) {
    FlowPacket packet;
    packet.key = Key(port, listener);
    packet.is_syn = true;
    packet.retransmit_count = retransmit_count;
    packet.sequence = 100;
    return packet;
  }

  static FlowPacket Data(uint16_t port,
                         uint32_t tag,
                         uint32_t sequence,
                         uint32_t ack_number,
                         const Ipv4Endpoint& listener = kTallyListener) {
    FlowPacket packet;
    packet.key = Key(port, listener);
    packet.sequence = sequence;
    packet.ack_number = ack_number;
    packet.tag = tag;
    packet.data_bytes = 150;
    return packet;
  }

  // Opens a flow and sends its first request. Returns the decision on it.
  Decision OpenFlow(uint16_t port) {
    const Decision placed = steering.Decide(Syn(port), now);
    now += 3ms;
    return steering.Decide(Data(port, placed.tag, 101, 500), now);
  }

  // Acknowledges the response to the first request of a flow.
  void AcknowledgeResponse(uint16_t port, uint32_t tag) {
    FlowPacket packet = Data(port, tag, 251, 900);
    packet.data_bytes = 0;
    steering.Decide(packet, now);
  }

  SteadyTime now = kStart;
  cluster_state::ClusterState cluster_state;
  Steering steering{std::make_unique<LocalFirstPlacement>("regina", 1)};

 private:
  static std::string Name(uint64_t id) { return "u" + std::to_string(id); }

  cluster_state::Configuration m_configuration;
  uint64_t m_revision = 1;
};

}  // namespace poplarsail::flows

#endif  // TESTS_FLOWS_FLOW_FIXTURE_H_
