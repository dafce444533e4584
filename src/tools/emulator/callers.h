#ifndef EMULATOR_CALLERS_H_
#define EMULATOR_CALLERS_H_

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "emulator/fleet.h"
#include "emulator/recorder.h"
#include "emulator/scenario.h"

namespace poplarsail::emulator {

// Requests of all kinds: they arrive as load demands, use flows that are open
// or open new ones, send packets again and try again as callers do.
class Callers {
 public:
  Callers(EventQueue* events,
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
  void Try(const std::shared_ptr<Request>& request);
  void TryAgain(const std::shared_ptr<Request>& request);
  void Finish(const std::shared_ptr<Request>& request, bool is_answered);

  // An open flow without a request, nullptr where there is none.
  FlowPtr TakeIdleFlow(size_t kind, size_t failure_domain);
  void OpenFlow(const std::shared_ptr<Request>& request);
  void SendOpening(const FlowPtr& flow, uint32_t retransmit_count);
  void SendRequest(const FlowPtr& flow, milliseconds next_copy);
  void SendEnd(const FlowPtr& flow);
  void Close(const FlowPtr& flow);

  void TakeOpened(const flows::FlowKey& key, uint32_t tag);
  void TakeAnswer(const flows::FlowKey& key, bool has_run, bool is_last);
  void TakeReset(const flows::FlowKey& key);
  FlowPtr Find(const flows::FlowKey& key) const;
  flows::FlowPacket PacketOf(const Flow& flow) const;

  EventQueue* m_events;
  Scenario m_scenario;
  Fleet* m_fleet;
  Recorder* m_recorder;
  std::mt19937_64 m_random;
  uint32_t m_next_caller = 0;
  std::map<flows::FlowKey, FlowPtr> m_flows;
  // Idle flows by kind and failure domain.
  std::map<std::pair<size_t, size_t>, std::vector<FlowPtr>> m_idle;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_CALLERS_H_
