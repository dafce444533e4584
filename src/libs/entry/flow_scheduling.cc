#include "entry/flow_scheduling.h"

#include <bit>
#include <utility>

#include "entry/flow_scheduling_state.h"

namespace poplarsail::entry {

namespace {

using model::Ipv4Endpoint;
using scheduling::SteadyTime;

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

FlowScheduling::FlowScheduling(boost::asio::io_context* context,
                               PeerSocket* socket,
                               Delegate* delegate,
                               Options options)
    : m_state(std::make_shared<State>(context,
                                      socket,
                                      delegate,
                                      std::move(options))) {
  socket->SetHandler(
      scheduling::kSchedulingMessageVersion,
      [this](const Ipv4Endpoint& sender, std::span<const uint8_t> datagram) {
        m_state->HandleDatagram(sender, datagram);
      });
}

FlowScheduling::~FlowScheduling() {
  m_state->is_stopping = true;
  m_state->schedulers.HandOver(Now());
  m_state->socket->SetHandler(scheduling::kSchedulingMessageVersion, nullptr);
}

void FlowScheduling::Update(const cluster_state::ClusterState& cluster_state) {
  m_state->pools.Update(cluster_state);
  m_state->schedulers.UpdatePools(Now());
  m_state->ScheduleTimers();
}

void FlowScheduling::SetLocalCandidates(
    const std::vector<scheduling::Candidate>& candidates) {
  for (const scheduling::Candidate& candidate : candidates) {
    m_state->capacity_classes[candidate.endpoint] = candidate.capacity_class;
  }
  m_state->client.SetCandidates(candidates);
  m_state->schedulers.SetCandidates(candidates);
}

void FlowScheduling::SetRemotePeers(
    const std::vector<model::Ipv4Endpoint>& peers) {
  m_state->schedulers.SetRemotePeers(peers);
}

bool FlowScheduling::IsScheduled(const std::string& service) const {
  return m_state->options.is_enabled &&
         m_state->pools.HasSingleRequests(service, m_state->detector);
}

uint32_t FlowScheduling::Request(const std::string& service,
                                 scheduling::PlacementRequest request) {
  const SteadyTime now = Now();
  m_state->LogSchedulerInUse(service, now);
  const scheduling::ClientActions actions =
      m_state->client.Request(service, std::move(request), now);
  const uint32_t token = actions.front().request.key.token;
  m_state->Execute(actions, kNoScheduler, now);
  m_state->ScheduleTimers();
  return token;
}

uint32_t FlowScheduling::NewToken() {
  return m_state->client.NewToken(Now());
}

void FlowScheduling::OnPlaced(const std::string& service,
                              uint32_t token,
                              uint64_t upstream_id) {
  m_state->client.OnPlaced(service, token, upstream_id, Now());
  m_state->ScheduleTimers();
}

void FlowScheduling::OnCompleted(const scheduling::Completion& completion) {
  m_state->client.OnCompleted(completion, Now());
  m_state->ScheduleTimers();
}

void FlowScheduling::OnFlowEnded(const model::Ipv4Endpoint& listener,
                                 uint32_t request_count) {
  m_state->detector.RecordFlow(listener, request_count);
}

void FlowScheduling::OnFlowReused(const model::Ipv4Endpoint& listener) {
  m_state->detector.RecordReuse(listener);
}

SchedulingFigures FlowScheduling::figures() const {
  SchedulingFigures figures = m_state->counts;
  m_state->schedulers.AddFigures(Now(), &figures);
  return figures;
}

std::vector<scheduling::Candidate> MakeCandidates(const FleetView& fleet) {
  std::vector<scheduling::Candidate> candidates;
  for (size_t i = 0; i < fleet.local_peers.size(); ++i) {
    const uint32_t cpu_thousandths =
        i < fleet.local_capacities.size() ? fleet.local_capacities[i] : 0;
    candidates.push_back(
        {fleet.local_peers[i], CapacityClass(cpu_thousandths)});
  }
  return candidates;
}

uint32_t CapacityClass(uint32_t cpu_thousandths) {
  return cpu_thousandths == 0
             ? 0
             : static_cast<uint32_t>(std::bit_width(cpu_thousandths) - 1);
}

}  // namespace poplarsail::entry
