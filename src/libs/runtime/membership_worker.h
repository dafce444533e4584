#ifndef RUNTIME_MEMBERSHIP_WORKER_H_
#define RUNTIME_MEMBERSHIP_WORKER_H_

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership.h"
#include "runtime/packet_worker.h"
#include "steering/steering.h"
#include "telemetry/telemetry.h"
#include "transport/transport.h"

namespace poplarsail::runtime {

// The entry hosts listed by the object API.
struct MemberList {
  std::vector<steering::Member> members;
  std::vector<std::string> failure_domains;

  friend bool operator==(const MemberList&, const MemberList&) = default;
};

// Detects failed entry hosts and tells the packet worker which hosts store flow
// records: those that are listed, are within their announced period, and
// respond. Does not wait for the object API.
class MembershipWorker {
 public:
  MembershipWorker(const model::Settings& settings, PacketWorker* packets);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

  transport::SpscQueue<std::shared_ptr<const MemberList>>& member_lists() {
    return m_member_lists;
  }
  std::shared_ptr<telemetry::CounterFamily> counters() const {
    return m_counters;
  }

 private:
  void ApplyMemberLists();
  void ReceiveMessages();
  void Send(const std::vector<membership::OutgoingMessage>& messages,
            const model::Endpoint* reply_to);
  void HandleDetectorChanges();
  void PublishReplicaHosts();

  model::Settings m_settings;
  PacketWorker* m_packets;
  transport::UdpSocket m_socket;
  membership::FailureDetector m_detector;
  transport::SpscQueue<std::shared_ptr<const MemberList>> m_member_lists;
  MemberList m_member_list;
  std::unordered_map<std::string, model::Endpoint> m_endpoints;
  std::vector<steering::Member> m_published_replica_hosts;
  std::vector<std::string> m_published_domains;
  std::vector<std::string> m_dead_peers;
  model::TimePoint m_next_replica_change = model::TimePoint::max();
  uint64_t m_handled_changes = 0;
  uint32_t m_handled_refutations = 0;
  std::shared_ptr<telemetry::CounterFamily> m_counters;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_MEMBERSHIP_WORKER_H_
