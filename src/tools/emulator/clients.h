#ifndef EMULATOR_CLIENTS_H_
#define EMULATOR_CLIENTS_H_

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "emulator/fleet.h"
#include "emulator/recorder.h"
#include "emulator/scenario.h"

namespace poplarsail::emulator {

// Generates the requests of all kinds at the scenario's rates. Requests reuse
// idle flows or open new ones; packets are retransmitted and failed requests
// are retried like real clients do.
class Clients {
 public:
  Clients(EventQueue* events,
          const Scenario& scenario,
          Fleet* fleet,
          Recorder* recorder,
          uint64_t seed);

  void Start();

 private:
  struct Request {
    RequestOutcome outcome;
    SteadyTime deadline;
    bool is_finished = false;
  };
  enum class FlowState : uint8_t { kOpening, kOpen, kClosed };
  struct Flow {
    flows::FlowKey key;
    size_t kind = 0;
    size_t failure_domain = 0;
    FlowState state = FlowState::kOpening;
    uint32_t tag = 0;
    uint32_t sequence = 1;
    uint32_t ack_number = 1;
    SteadyTime expiry;
    std::shared_ptr<Request> request;
  };
  using FlowPtr = std::shared_ptr<Flow>;

  void ScheduleArrival(size_t kind);
  double LoadFactor() const;
  size_t ChooseDomain();
  // Returns the relative change of the demand of a failure domain.
  double WaveAt(const Disturbance& disturbance, size_t domain) const;
  void StartAttempt(const std::shared_ptr<Request>& request);
  // Starts another attempt after one that ended with `ending`, unless it was
  // the last one.
  void Retry(const std::shared_ptr<Request>& request, Ending ending);
  void Finish(const std::shared_ptr<Request>& request, Ending ending);
  SteadyTime::duration DrawRequestWork(size_t kind);

  // Removes and returns an open flow without a request. Returns nullptr if the
  // client has to open one.
  FlowPtr AcquireIdleFlow(size_t kind, size_t failure_domain);
  void OpenFlow(const std::shared_ptr<Request>& request);
  void SendSyn(const FlowPtr& flow, uint32_t retransmit_count);
  void SendRequest(const FlowPtr& flow, milliseconds retransmit_delay);
  void SendFin(const FlowPtr& flow);
  void Close(const FlowPtr& flow);

  void OnFlowOpened(const flows::FlowKey& key, uint32_t tag);
  void OnResponse(const flows::FlowKey& key,
                  ResponseKind kind,
                  bool closes_flow);
  // The flow was reset, or no upstream has accepted it in time.
  void OnFlowLost(const flows::FlowKey& key, Ending ending);
  FlowPtr FindFlow(const flows::FlowKey& key) const;
  flows::FlowPacket MakePacket(const Flow& flow) const;

  EventQueue* m_events;
  Scenario m_scenario;
  Fleet* m_fleet;
  Recorder* m_recorder;
  std::mt19937_64 m_random;
  // Separate, so that the work of requests doesn't depend on the placement.
  std::mt19937_64 m_work_random;
  uint32_t m_next_client = 0;
  std::map<flows::FlowKey, FlowPtr> m_flows;
  // Keyed by request kind and failure domain.
  std::map<std::pair<size_t, size_t>, std::vector<FlowPtr>> m_idle_flows;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_CLIENTS_H_
