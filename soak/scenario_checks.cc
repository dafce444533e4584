#include <algorithm>

#include <fmt/format.h>

#include "soak/scenario.h"

namespace poplarsail::soak {

Scenario::Host* Scenario::FindHost(const std::string& address) {
  for (Host& host : m_hosts) {
    if (host.process->options().address == address) {
      return &host;
    }
  }
  return nullptr;
}

void Scenario::CheckNewFlow(const UpstreamOptions& upstream,
                            const std::string& daemon_address,
                            const model::Ipv4Endpoint& listener) {
  const Host* host = FindHost(daemon_address);
  if (host == nullptr || !IsSettled(host->process->disturbed_until) ||
      !IsSettled(m_store_disturbed_until)) {
    return;
  }
  const auto now = Clock::now();
  const auto self = std::find_if(
      m_upstreams.begin(), m_upstreams.end(), [&](const auto& candidate) {
        return candidate->options().id == upstream.id;
      });
  const auto& draining = (*self)->draining_since;
  if (draining && now > *draining + kDrainBound + kBoundTolerance) {
    m_violations.Report(
        Invariant::kDrainHonored,
        fmt::format("draining upstream {} got a new flow from {}",
                    (*self)->name(), daemon_address));
  }
  const auto evacuation = m_evacuations.find(upstream.failure_domain);
  if (evacuation != m_evacuations.end() &&
      now > evacuation->second + kEvacuationBound + kBoundTolerance) {
    m_violations.Report(
        Invariant::kEvacuationHonored,
        fmt::format(
            "upstream {} in an evacuated failure domain got a new flow from {}",
            (*self)->name(), daemon_address));
  }
  for (const Listener& known : m_listeners) {
    if (known.endpoint == listener && known.removed_since &&
        now > *known.removed_since + kConfigurationBound + kBoundTolerance) {
      m_violations.Report(
          Invariant::kListenerRemovalHonored,
          "new flow through the removed listener " + model::ToString(listener));
    }
  }
}

void Scenario::CheckReset(const FlowId& flow,
                          const model::Endpoint& daemon,
                          const model::Endpoint& upstream_endpoint) {
  const Host* host = FindHost(daemon.address.to_string());
  if (host == nullptr || (!m_options.is_planned_only &&
                          !IsSettled(host->process->disturbed_until))) {
    return;
  }
  // A configuration that removes a listener closes its flows.
  for (const Listener& known : m_listeners) {
    if (known.endpoint == flow.second && known.removed_since) {
      return;
    }
  }
  const auto is_sender = [&](const auto& upstream) {
    return model::ToEndpoint(upstream->options().endpoint) == upstream_endpoint;
  };
  for (const auto& upstream : m_upstreams) {
    if (is_sender(upstream) &&
        !IsSettled(m_upstream_disturbed_until[upstream->options().id])) {
      return;
    }
  }
  for (const auto& upstream : m_upstreams) {
    const bool is_undisturbed =
        IsSettled(m_upstream_disturbed_until[upstream->options().id]);
    if (is_undisturbed && !is_sender(upstream) && upstream->HasOpenFlow(flow)) {
      m_violations.Report(
          Invariant::kFlowContinuity,
          fmt::format(
              "the flow of {} through {} was reset by {} while {} holds it",
              model::ToString(flow.first), host->process->options().name,
              upstream_endpoint.port == 0 ? "it"
                                          : model::ToString(upstream_endpoint),
              upstream->name()));
    }
  }
}

}  // namespace poplarsail::soak
