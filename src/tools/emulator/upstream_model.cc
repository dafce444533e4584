#include "emulator/upstream_model.h"

#include <utility>

namespace poplarsail::emulator {

void UpstreamModel::Crash() {
  m_is_alive = false;
  m_waiting.clear();
  m_flows.clear();
}

bool UpstreamModel::TakeData(const flows::FlowKey& key, uint32_t sequence) {
  uint32_t& last = m_flows[key];
  if (sequence <= last) {
    return false;
  }
  last = sequence;
  return true;
}

void UpstreamModel::Submit(milliseconds work, Done done) {
  if (m_busy < kSlots) {
    Begin({work, std::move(done)});
    return;
  }
  if (m_waiting.size() >= kQueueLength) {
    done(false);
    return;
  }
  m_waiting.push_back({work, std::move(done)});
}

void UpstreamModel::Begin(Request request) {
  ++m_busy;
  const bool is_cold = m_events->now() < m_record.cold_until;
  const double factor = m_slow_factor * (is_cold ? kColdFactor : 1.0);
  const auto duration =
      std::chrono::duration_cast<SteadyTime::duration>(request.work * factor);
  m_events->After(duration,
                  [this, start = m_start, done = std::move(request.done)]() {
                    if (!m_is_alive || start != m_start) {
                      return;
                    }
                    --m_busy;
                    ++m_runs;
                    done(true);
                    if (!m_waiting.empty() && m_busy < kSlots) {
                      Request next = std::move(m_waiting.front());
                      m_waiting.pop_front();
                      Begin(std::move(next));
                    }
                  });
}

}  // namespace poplarsail::emulator
