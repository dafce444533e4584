#include "entry/snapshot_assembler.h"

namespace poplarsail::entry {

namespace {

// Below the interval of snapshots, so that parts of two are never mixed.
constexpr scheduling::milliseconds kPartLifetime{250};
constexpr size_t kMaxPartials = 1'024;

}  // namespace

std::optional<std::vector<scheduling::OpenFlow>> SnapshotAssembler::Add(
    const model::Ipv4Endpoint& host,
    const std::string& service,
    const scheduling::SnapshotMessage& message,
    scheduling::SteadyTime now) {
  if (message.part_count == 1) {
    return message.flows;
  }
  std::erase_if(m_partials,
                [&](const auto& item) { return item.second.expiry <= now; });
  if (m_partials.size() >= kMaxPartials) {
    return std::nullopt;
  }
  const std::pair key(host, service);
  Partial& partial = m_partials[key];
  if (partial.part_count != message.part_count) {
    partial = {{}, message.part_count, now + kPartLifetime};
  }
  partial.parts[message.part] = message.flows;
  if (partial.parts.size() < partial.part_count) {
    return std::nullopt;
  }
  std::vector<scheduling::OpenFlow> flows;
  for (const auto& [part, part_flows] : partial.parts) {
    flows.insert(flows.end(), part_flows.begin(), part_flows.end());
  }
  m_partials.erase(key);
  return flows;
}

}  // namespace poplarsail::entry
