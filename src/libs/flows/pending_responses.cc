#include "flows/pending_responses.h"

#include <algorithm>
#include <utility>

namespace poplarsail::flows {

std::optional<PendingResponse> PendingResponses::PopFirstExpired(
    Queue* queue,
    SteadyTime now) {
  while (!queue->empty() && queue->begin()->first <= now) {
    PendingResponse due = std::move(queue->begin()->second);
    queue->erase(queue->begin());
    if (now - due.deadline < kMaxTimerDelay) {
      return due;
    }
  }
  return std::nullopt;
}

void PendingResponses::Add(const FlowPacket& packet,
                           std::span<const uint8_t> datagram,
                           SteadyTime deadline) {
  Queue& queue = packet.is_syn ? m_syns : m_requests;
  if (queue.size() >= kMaxPendingResponses) {
    return;
  }
  PendingResponse pending;
  pending.deadline = deadline;
  pending.packet = packet;
  if (packet.is_syn) {
    pending.datagram.assign(datagram.begin(), datagram.end());
  }
  queue.emplace(deadline, std::move(pending));
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
    const SteadyTime deadline = queue->begin()->first;
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

std::optional<SteadyTime> PendingResponses::NextCheck(
    const std::optional<SteadyTime>& scheduled) const {
  const auto next = NextDeadline();
  if (!next) {
    return std::nullopt;
  }
  const SteadyTime check = *next + kResponseTimeoutInterval;
  return scheduled && *scheduled <= check ? std::nullopt : std::optional(check);
}

}  // namespace poplarsail::flows
