#include "emulator/oracle_flows.h"

namespace poplarsail::emulator {

void OracleFlows::OnSyn(const flows::FlowPacket& packet) {
  const auto [found, is_new] = m_flows.try_emplace(packet.key);
  if (!is_new) {
    if (found->second) {
      m_callbacks.forward(packet, *found->second);
    }
    return;
  }
  Oracle::Request request = m_describe(packet.key);
  request.decide = [this, packet](std::optional<uint64_t> upstream_id) {
    if (!upstream_id) {
      m_flows.erase(packet.key);
      m_callbacks.reset(packet);
      return;
    }
    m_flows[packet.key] = upstream_id;
    m_callbacks.forward(packet, *upstream_id);
  };
  m_oracle->Submit(std::move(request));
}

void OracleFlows::OnPacket(const flows::FlowPacket& packet) {
  if (packet.is_fin || packet.is_rst) {
    m_flows.erase(packet.key);
  }
}

}  // namespace poplarsail::emulator
