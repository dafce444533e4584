#include "flows/pending_responses.h"

#include <algorithm>
#include <utility>

namespace poplarsail::flows {

namespace {

std::optional<PendingResponse> PopDue(std::deque<PendingResponse>* queue,
                                  SteadyTime now) {
  while (!queue->empty() && queue->front().deadline <= now) {
    PendingResponse due = std::move(queue->front());
    queue->pop_front();
    if (now - due.deadline < kHeldUpAfter) {
      return due;
    }
  }
  return std::nullopt;
}

}  // namespace

void PendingResponses::Add(const FlowPacket& packet,
                       std::span<const uint8_t> datagram,
                       SteadyTime now) {
  std::deque<PendingResponse>& queue = packet.is_syn ? m_openings : m_requests;
  if (queue.size() >= kMaxExpectations) {
    return;
  }
  PendingResponse expectation;
  expectation.deadline =
      now + (packet.is_syn ? kOpeningAnswerTime : kRequestAnswerTime);
  expectation.packet = packet;
  if (packet.is_syn) {
    expectation.datagram.assign(datagram.begin(), datagram.end());
  }
  queue.push_back(std::move(expectation));
}

std::optional<PendingResponse> PendingResponses::PopExpired(SteadyTime now) {
  std::optional<PendingResponse> due = PopDue(&m_openings, now);
  return due ? due : PopDue(&m_requests, now);
}

std::optional<SteadyTime> PendingResponses::NextDeadline() const {
  std::optional<SteadyTime> next;
  for (const auto* queue : {&m_openings, &m_requests}) {
    if (queue->empty()) {
      continue;
    }
    const SteadyTime deadline = queue->front().deadline;
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

}  // namespace poplarsail::flows
