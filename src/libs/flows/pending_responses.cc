#include "flows/pending_responses.h"

#include <algorithm>
#include <utility>

namespace poplarsail::flows {

namespace {

std::optional<PendingResponse> PopFirstExpired(
    std::deque<PendingResponse>* queue,
    SteadyTime now) {
  while (!queue->empty() && queue->front().deadline <= now) {
    PendingResponse due = std::move(queue->front());
    queue->pop_front();
    if (now - due.deadline < kMaxTimerDelay) {
      return due;
    }
  }
  return std::nullopt;
}

}  // namespace

void PendingResponses::Add(const FlowPacket& packet,
                           std::span<const uint8_t> datagram,
                           SteadyTime now) {
  std::deque<PendingResponse>& queue = packet.is_syn ? m_syns : m_requests;
  if (queue.size() >= kMaxPendingResponses) {
    return;
  }
  PendingResponse pending;
  pending.deadline =
      now + (packet.is_syn ? kSynResponseTimeout : kRequestResponseTimeout);
  pending.packet = packet;
  if (packet.is_syn) {
    pending.datagram.assign(datagram.begin(), datagram.end());
  }
  queue.push_back(std::move(pending));
}

std::optional<PendingResponse> PendingResponses::PopExpired(SteadyTime now) {
  std::optional<PendingResponse> due = PopFirstExpired(&m_syns, now);
  return due ? due : PopFirstExpired(&m_requests, now);
}

std::optional<SteadyTime> PendingResponses::NextDeadline() const {
  std::optional<SteadyTime> next;
  for (const auto* queue : {&m_syns, &m_requests}) {
    if (queue->empty()) {
      continue;
    }
    const SteadyTime deadline = queue->front().deadline;
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

}  // namespace poplarsail::flows
