#include "flows/expectations.h"

#include <algorithm>
#include <utility>

namespace poplarsail::flows {

namespace {

std::optional<Expectation> PopDue(std::deque<Expectation>* queue,
                                  SteadyTime now) {
  while (!queue->empty() && queue->front().deadline <= now) {
    Expectation due = std::move(queue->front());
    queue->pop_front();
    if (now - due.deadline < kHeldUpAfter) {
      return due;
    }
  }
  return std::nullopt;
}

}  // namespace

void Expectations::Add(const FlowPacket& packet,
                       std::span<const uint8_t> datagram,
                       SteadyTime now) {
  std::deque<Expectation>& queue = packet.is_opening ? m_openings : m_requests;
  if (queue.size() >= kMaxExpectations) {
    return;
  }
  Expectation expectation;
  expectation.deadline =
      now + (packet.is_opening ? kOpeningAnswerTime : kRequestAnswerTime);
  expectation.packet = packet;
  if (packet.is_opening) {
    expectation.datagram.assign(datagram.begin(), datagram.end());
  }
  queue.push_back(std::move(expectation));
}

std::optional<Expectation> Expectations::TakeDue(SteadyTime now) {
  std::optional<Expectation> due = PopDue(&m_openings, now);
  return due ? due : PopDue(&m_requests, now);
}

std::optional<SteadyTime> Expectations::NextDeadline() const {
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
