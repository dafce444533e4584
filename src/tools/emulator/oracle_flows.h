#ifndef EMULATOR_ORACLE_FLOWS_H_
#define EMULATOR_ORACLE_FLOWS_H_

#include <map>
#include <optional>
#include <string>

#include "emulator/flow_scheduling.h"
#include "emulator/oracle.h"

namespace poplarsail::emulator {

// Asks the oracle for the placement of a host's flows.
class OracleFlows : public FlowScheduling {
 public:
  // Returns what the oracle has to know of a flow, without its `decide`.
  using Describe = std::function<Oracle::Request(const flows::FlowKey&)>;

  OracleFlows(Oracle* oracle, Describe describe, Callbacks callbacks)
      : m_oracle(oracle),
        m_describe(std::move(describe)),
        m_callbacks(std::move(callbacks)) {}

  void OnSyn(const flows::FlowPacket& packet) override;
  void OnPacket(const flows::FlowPacket& packet) override;
  void Update(const cluster_state::ClusterState&) override {}

 private:
  Oracle* m_oracle;
  Describe m_describe;
  Callbacks m_callbacks;
  // The upstream of each flow, or nullopt until the oracle decides.
  std::map<flows::FlowKey, std::optional<uint64_t>> m_flows;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_ORACLE_FLOWS_H_
