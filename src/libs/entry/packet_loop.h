#ifndef ENTRY_PACKET_LOOP_H_
#define ENTRY_PACKET_LOOP_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "entry/entry_settings.h"
#include "entry/flow_codec.h"
#include "entry/flow_scheduling.h"
#include "entry/loss_log.h"
#include "entry/peer_probes.h"
#include "entry/refusal_log.h"
#include "entry/upstream_checker.h"
#include "flows/flows.h"
#include "transport/transport.h"

namespace poplarsail::entry {

// Datagrams read from the socket in one batch.
inline constexpr size_t kReceiveBatchSize = 16;
// Batches read before other handlers get their turn; more than a stall leaves
// in a socket buffer of the usual size.
inline constexpr size_t kMaxBatchesPerTurn = 64;
// Response timeouts are handled this late at the most while packets wait in the
// socket.
inline constexpr std::chrono::milliseconds kMaxResponseTimeoutDelay{20};
// The platform's packets have at most 1,234 bytes.
inline constexpr size_t kMaxPacketBytes = 1'500;
// Maximum number of packets held until the cluster state is complete; the
// oldest are dropped first.
inline constexpr size_t kMaxHeldPackets = 128;
// Packets are held for less than their sender's retransmission interval.
inline constexpr std::chrono::milliseconds kHoldTimeout{180};
// A SYN that waited this long for its scheduler, because this host was paused,
// is dropped. Schedulers answer within 1.3 s.
inline constexpr std::chrono::milliseconds kHeldSynTimeout{1'350};

struct PacketCounts {
  std::array<uint64_t, flows::kReasonCount> by_reason{};
  uint64_t malformed = 0;
  // SYN packets that were queued in the socket while this host was stalled.
  uint64_t stale = 0;
  uint64_t unsent = 0;
  uint64_t checks = 0;
  uint64_t failed_checks = 0;
  uint64_t refused_checks = 0;
  uint64_t inconclusive_checks = 0;
};

// Reads packets from the socket, passes them to the steering and executes its
// decisions.
class PacketLoop : public FlowScheduling::Delegate,
                   public PeerProbes::Delegate {
 public:
  PacketLoop(boost::asio::io_context* context,
             const EntrySettings& settings,
             const FlowCodec* codec,
             flows::Steering* steering);

  // Call when another host reports that the upstream does not respond.
  void OnFailureReport(uint64_t upstream_id);

  // Sets the callback for upstreams that fail a check of this host, if other
  // hosts should be notified.
  void set_on_upstream_failure(
      std::function<void(uint64_t)> on_upstream_failure) {
    m_on_upstream_failure = std::move(on_upstream_failure);
  }

  // Sets the callback for upstreams that did not respond to the first attempt
  // of a check, so that other hosts can be asked about them.
  void set_on_upstream_doubt(std::function<void(uint64_t)> on_upstream_doubt) {
    m_on_upstream_doubt = std::move(on_upstream_doubt);
  }

  // Sets the callback for flows whose SYN had no response in time and was sent
  // again, to the upstream with the given id.
  void set_on_syn_resent(
      std::function<void(const flows::FlowKey&, uint64_t)> on_syn_resent) {
    m_on_syn_resent = std::move(on_syn_resent);
  }

  // Call at least four times per second, whether or not packets arrive: detects
  // stalls of this host.
  void Poll();

  // Starts the checks that are due, of upstreams that are unregistered or not
  // healthy.
  void RunDueChecks();

  void Start() { WaitForPackets(); }

  // Handles the packets that wait in the socket, before the daemon stops.
  void Drain() { ReceivePackets(); }

  // FlowScheduling::Delegate:
  FlowScheduling::PlaceResult PlaceFlow(uint32_t token,
                                        uint64_t upstream_id) override;
  void PlaceFlowLocally(uint32_t token) override;
  void RefuseFlow(uint32_t token, scheduling::RefusalReason reason) override;

  // PeerProbes::Delegate:
  void ProbeUpstream(uint64_t upstream_id,
                     std::function<void(bool is_connected)> done) override;
  void OnConnectedElsewhere(uint64_t upstream_id) override;

  // Handles held packets again after the cluster state has changed.
  void RetryHeldPackets();

  const PacketCounts& counts() const { return m_counts; }
  // When the last packet arrived.
  flows::SteadyTime last_packet() const { return m_last_packet; }

 private:
  struct HeldPacket {
    std::vector<uint8_t> datagram;
    flows::SteadyTime deadline;
  };

  // A SYN that waits for the scheduler's answer.
  struct HeldSyn {
    flows::FlowPacket packet;
    // After this time the client has given up, or its copies have gone to
    // another host.
    flows::SteadyTime expiry;
    std::vector<uint8_t> datagram;
  };

  void WaitForPackets();
  // Removes and returns the SYN unless it is unknown or has expired.
  std::optional<HeldSyn> TakeHeldSyn(uint32_t token);
  // Executes a decision on a packet that arrived before.
  void ExecuteLater(const HeldSyn& syn, const flows::Decision& decision);
  void CheckForStall();
  void LogSuppressedRefusals();
  // Returns whether no packets are left in the socket.
  bool ReceivePackets();
  void OnResponseTimer(flows::SteadyTime expiry);
  void HandlePacket(std::span<const uint8_t> datagram, flows::SteadyTime now);
  void Execute(const flows::FlowPacket& packet,
               const flows::Decision& decision,
               std::span<const uint8_t> datagram);
  // Waits for the response to a packet that was forwarded.
  void AwaitResponse(const flows::FlowPacket& packet,
                     const flows::Decision& decision,
                     std::span<const uint8_t> datagram);
  void ScheduleResponseTimeouts();
  void HandleResponseTimeouts();
  void StartCheck(const flows::Upstream& upstream);
  // Connects to the upstream to find out whether it is alive.
  void ProbeForTimeout(const flows::Upstream& upstream);
  void OnCheckResult(uint64_t upstream_id, CheckResult result);
  void SendReset(const flows::FlowPacket& packet);
  void CountReset(const flows::FlowPacket& packet, flows::Reason reason);
  void Hold(std::span<const uint8_t> datagram, flows::SteadyTime now);
  void Flush();

  const FlowCodec* m_codec;
  flows::Steering* m_steering;
  uint16_t m_client_port;
  transport::UdpSocket m_socket;
  boost::asio::posix::stream_descriptor m_descriptor;
  UpstreamChecker m_checker;
  flows::PendingResponses m_pending_responses;
  flows::StallDetector m_stall_detector;
  // Packets that were queued during a stall are still being read.
  bool m_is_catching_up = false;
  boost::asio::steady_timer m_response_timer;
  // When the response timer expires, or nullopt if it is not armed.
  std::optional<flows::SteadyTime> m_response_timer_expiry;
  std::deque<HeldPacket> m_held_packets;
  std::unordered_map<uint32_t, HeldSyn> m_held_syns;
  RefusalLog m_refusal_log;
  LossLog m_loss_log;
  PacketCounts m_counts;
  flows::SteadyTime m_last_packet;
  std::function<void(uint64_t)> m_on_upstream_failure;
  std::function<void(uint64_t)> m_on_upstream_doubt;
  std::function<void(const flows::FlowKey&, uint64_t)> m_on_syn_resent;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PACKET_LOOP_H_
