#ifndef RUNTIME_MEMBERSHIP_DUTY_H_
#define RUNTIME_MEMBERSHIP_DUTY_H_

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership.h"
#include "runtime/packet_duty.h"
#include "steering/steering.h"
#include "telemetry/telemetry.h"
#include "transport/transport.h"

namespace poplarsail::runtime {

// The entry hosts as the object API lists them.
struct MemberList {
  std::vector<steering::Member> members;
  std::vector<std::string> failure_domains;

  friend bool operator==(const MemberList&, const MemberList&) = default;
};

// Finds out which entry hosts answer and tells the packet duty who keeps flow
// records: hosts that are listed, whose announced time has come, and that
// answer. Does not wait for the object API.
class MembershipDuty {
 public:
  MembershipDuty(const model::Settings& settings, PacketDuty* packets);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

  transport::SpscQueue<std::shared_ptr<const MemberList>>& lists() {
    return m_lists;
  }
  std::shared_ptr<telemetry::CounterFamily> counters() const { return m_counters; }

 private:
  void TakeLists();
  void TakeMessages();
  void Send(const std::vector<membership::OutgoingMessage>& messages,
            const model::Endpoint* answer_to);
  void NoteChanges();
  void PublishKeepers();

  model::Settings m_settings;
  PacketDuty* m_packets;
  transport::UdpSocket m_port;
  membership::FailureDetector m_detector;
  transport::SpscQueue<std::shared_ptr<const MemberList>> m_lists;
  MemberList m_list;
  std::unordered_map<std::string, model::Endpoint> m_endpoints;
  std::vector<steering::Member> m_published_keepers;
  std::vector<std::string> m_published_domains;
  std::vector<std::string> m_dead;
  model::TimePoint m_next_keeper_change = model::TimePoint::max();
  uint64_t m_seen_changes = 0;
  uint32_t m_seen_refutations = 0;
  std::shared_ptr<telemetry::CounterFamily> m_counters;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_MEMBERSHIP_DUTY_H_
