#ifndef ENTRY_PACKET_LOOP_H_
#define ENTRY_PACKET_LOOP_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <utility>
#include <vector>

#include "entry/entry_settings.h"
#include "entry/flow_codec.h"
#include "entry/upstream_checker.h"
#include "flows/flows.h"
#include "transport/transport.h"

namespace poplarsail::entry {

// Datagrams taken from the socket at once.
inline constexpr size_t kPacketBatch = 16;
// The platform's packets are 1,234 bytes at the most.
inline constexpr size_t kMaxPacketBytes = 1'500;
// Packets that wait for a first belief, at the most.
inline constexpr size_t kMaxHeldPackets = 128;
// A packet is held no longer than its sender would wait before it sends it
// again.
inline constexpr std::chrono::milliseconds kHoldTimeout{180};

struct PacketCounts {
  std::array<uint64_t, flows::kReasonCount> by_reason{};
  uint64_t malformed = 0;
  // Opening packets that waited while this host stood still.
  uint64_t stale = 0;
  uint64_t unsent = 0;
  uint64_t checks = 0;
  uint64_t failed_checks = 0;
  uint64_t inconclusive_checks = 0;
};

// Moves packets between the socket and the decisions of the steering.
class PacketLoop {
 public:
  PacketLoop(boost::asio::io_context* context,
             const EntrySettings& settings,
             const FlowCodec* codec,
             flows::Steering* steering);

  // A neighbour finds that the upstream does not answer.
  void TakeFinding(uint64_t upstream_id);

  // Called with each upstream that this host newly finds not to answer.
  void set_on_finding(std::function<void(uint64_t)> on_finding) {
    m_on_finding = std::move(on_finding);
  }

  // Call at least four times a second, besides packets.
  void Turn();

  // Looks again after upstreams that are presumed dead.
  void CheckDoubted();

  void Start() { WaitForPackets(); }

  // Decides again on packets that were held.
  void ReleaseHeld();

  const PacketCounts& counts() const { return m_counts; }

 private:
  struct HeldPacket {
    std::vector<uint8_t> datagram;
    flows::SteadyTime deadline;
  };

  void WaitForPackets();
  void CheckForStall();
  void TakePackets();
  void Handle(std::span<const uint8_t> datagram, flows::SteadyTime now);
  void Execute(const flows::FlowPacket& packet,
               const flows::Decision& decision,
               std::span<const uint8_t> datagram);
  void ScheduleExpectations();
  void CheckExpectations();
  void StartCheck(const flows::Upstream& upstream);
  void TakeCheckResult(uint64_t upstream_id, CheckResult result);
  void Reset(const flows::FlowPacket& packet);
  void Hold(std::span<const uint8_t> datagram, flows::SteadyTime now);
  void Flush();

  const FlowCodec* m_codec;
  flows::Steering* m_steering;
  uint16_t m_caller_port;
  transport::UdpSocket m_port;
  boost::asio::posix::stream_descriptor m_descriptor;
  UpstreamChecker m_checker;
  flows::PendingResponses m_expectations;
  flows::StallDetector m_stall_detector;
  // Packets that waited during a stall are being taken.
  bool m_is_catching_up = false;
  boost::asio::steady_timer m_expectation_timer;
  bool m_is_expecting = false;
  std::deque<HeldPacket> m_held;
  PacketCounts m_counts;
  std::function<void(uint64_t)> m_on_finding;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PACKET_LOOP_H_
