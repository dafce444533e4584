#include "emulator/scheduling_network.h"

#include <memory>

namespace poplarsail::emulator {

namespace {

// One-way delay of messages within a failure domain.
constexpr std::chrono::microseconds kLocalMessageDelay{100};

}  // namespace

SteadyTime::duration SchedulingNetwork::DelayBetween(
    const model::Ipv4Endpoint& from,
    const model::Ipv4Endpoint& to) const {
  if (from == to) {
    return {};
  }
  const bool is_local =
      m_hosts.at(from).failure_domain == m_hosts.at(to).failure_domain;
  return is_local ? SteadyTime::duration(kLocalMessageDelay) : m_domain_delay;
}

void SchedulingNetwork::Send(const model::Ipv4Endpoint& from,
                             const model::Ipv4Endpoint& to,
                             const scheduling::SchedulingMessage& message) {
  m_events->ScheduleAfter(
      DelayBetween(from, to),
      [receiver = m_hosts.at(to).receiver, from,
       sent = std::make_shared<scheduling::SchedulingMessage>(message)]() {
        receiver->OnMessage(from, *sent);
      });
}

void SchedulingNetwork::NotifyForwardGranted(
    const model::Ipv4Endpoint& from,
    const model::Ipv4Endpoint& to,
    const std::string& service,
    const scheduling::RequestKey& key) {
  m_events->ScheduleAfter(DelayBetween(from, to),
                          [receiver = m_hosts.at(to).receiver, service, key]() {
                            receiver->OnForwardGranted(service, key);
                          });
}

void SchedulingNetwork::Broadcast(
    const model::Ipv4Endpoint& from,
    const scheduling::SchedulingMessage& message) {
  for (const auto& [endpoint, host] : m_hosts) {
    if (endpoint != from) {
      Send(from, endpoint, message);
    }
  }
}

std::vector<scheduling::Candidate> SchedulingNetwork::Candidates(
    const std::string& failure_domain) const {
  std::vector<scheduling::Candidate> candidates;
  for (const auto& [endpoint, host] : m_hosts) {
    if (host.failure_domain == failure_domain) {
      candidates.push_back({endpoint, 0});
    }
  }
  return candidates;
}

}  // namespace poplarsail::emulator
