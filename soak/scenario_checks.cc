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

void Scenario::CheckOpened(const UpstreamOptions& upstream,
                           const std::string& daemon_address,
                           const model::Ipv4Endpoint& listener) {
  const Host* host = FindHost(daemon_address);
  if (host == nullptr || !IsCalm(host->process->disturbed_until) ||
      !IsCalm(m_store_disturbed)) {
    return;
  }
  const auto now = Clock::now();
  const auto self = std::find_if(
      m_upstreams.begin(), m_upstreams.end(), [&](const auto& candidate) {
        return candidate->options().id == upstream.id;
      });
  const auto& draining = (*self)->draining_since;
  if (draining && now > *draining + kDrainBound + kBoundSlack) {
    m_violations.Report(
        Promise::kDrained,
        fmt::format("{} got a flow from {}", (*self)->name(), daemon_address));
  }
  const auto take_out = m_take_outs.find(upstream.failure_domain);
  if (take_out != m_take_outs.end() &&
      now > take_out->second + kTakeOutBound + kBoundSlack) {
    m_violations.Report(
        Promise::kTakenOut,
        fmt::format("{} got a flow from {}", (*self)->name(), daemon_address));
  }
  for (const Listener& known : m_listeners) {
    if (known.endpoint == listener && known.removed_since &&
        now > *known.removed_since + kConfigurationBound + kBoundSlack) {
      m_violations.Report(Promise::kConfigured,
                          "a flow of " + model::ToString(listener));
    }
  }
}

void Scenario::CheckReset(const FlowId& flow, const model::Endpoint& daemon) {
  const Host* host = FindHost(daemon.address.to_string());
  if (host == nullptr || !IsCalm(host->process->disturbed_until)) {
    return;
  }
  // A configuration that drops a listener ends its flows.
  for (const Listener& known : m_listeners) {
    if (known.endpoint == flow.second && known.removed_since) {
      return;
    }
  }
  for (const auto& upstream : m_upstreams) {
    const bool is_undisturbed =
        IsCalm(m_upstream_disturbed[upstream->options().id]);
    if (is_undisturbed && upstream->HasOpenFlow(flow)) {
      m_violations.Report(
          Promise::kFlowKept,
          fmt::format("{} was reset by {} while {} holds it",
                      model::ToString(flow.first),
                      host->process->options().name, upstream->name()));
    }
  }
}

}  // namespace poplarsail::soak
