#include "scheduling/single_request_detector.h"

#include <algorithm>

namespace poplarsail::scheduling {

namespace {

constexpr uint32_t kMinEndedFlows = 8;
constexpr uint32_t kMinSinglePercent = 90;
constexpr size_t kMaxListeners = 4'096;

}  // namespace

void SingleRequestDetector::History::Add(bool is_single) {
  single <<= 1;
  single[0] = is_single;
  flow_count = std::min<uint32_t>(flow_count + 1, kWindowFlows);
}

SingleRequestDetector::History* SingleRequestDetector::Find(
    const model::Ipv4Endpoint& listener) {
  const auto found = m_histories.find(listener);
  if (found != m_histories.end()) {
    return &found->second;
  }
  return m_histories.size() < kMaxListeners ? &m_histories[listener] : nullptr;
}

void SingleRequestDetector::RecordFlow(const model::Ipv4Endpoint& listener,
                                       uint32_t request_count) {
  // Flows without a request, such as port scans, say nothing about reuse.
  History* history = request_count == 0 ? nullptr : Find(listener);
  if (history == nullptr) {
    return;
  }
  history->ended_count = std::min(history->ended_count + 1, kMinEndedFlows);
  if (request_count > 1 && history->open_reused_count > 0) {
    --history->open_reused_count;
    return;
  }
  history->Add(request_count == 1);
}

void SingleRequestDetector::RecordReuse(const model::Ipv4Endpoint& listener) {
  if (History* history = Find(listener)) {
    ++history->open_reused_count;
    history->Add(false);
  }
}

bool SingleRequestDetector::CarriesSingleRequests(
    const model::Ipv4Endpoint& listener) const {
  const auto found = m_histories.find(listener);
  if (found == m_histories.end() ||
      found->second.ended_count < kMinEndedFlows) {
    return false;
  }
  const History& history = found->second;
  return history.single.count() * 100 >=
         size_t{history.flow_count} * kMinSinglePercent;
}

bool SingleRequestDetector::IsUndecided(
    const model::Ipv4Endpoint& listener) const {
  const auto found = m_histories.find(listener);
  return found == m_histories.end() ||
         (found->second.ended_count < kMinEndedFlows &&
          found->second.flow_count < kMinEndedFlows);
}

}  // namespace poplarsail::scheduling
