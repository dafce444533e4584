#include "emulator/upstream_model.h"

#include <utility>

namespace poplarsail::emulator {

void UpstreamModel::Crash() {
  m_is_alive = false;
  m_queue.clear();
  m_flows.clear();
}

bool UpstreamModel::AcceptData(const flows::FlowKey& key, uint32_t sequence) {
  uint32_t& last = m_flows[key];
  if (sequence <= last) {
    return false;
  }
  last = sequence;
  return true;
}

void UpstreamModel::Submit(SteadyTime::duration work, Done done) {
  if (m_active_requests < kMaxConcurrentRequests) {
    Process({work, std::move(done)});
    return;
  }
  if (m_queue.size() >= kMaxQueuedRequests) {
    done(false);
    return;
  }
  m_queue.push_back({work, std::move(done)});
}

double UpstreamModel::TimePerWork() const {
  const bool is_cold = m_events->now() < m_record.cold_until;
  return m_slow_factor * (is_cold ? m_cold_factor : 1.0) / m_speed;
}

void UpstreamModel::Process(Request request) {
  ++m_active_requests;
  const auto duration = std::chrono::duration_cast<SteadyTime::duration>(
      request.work * TimePerWork());
  m_events->ScheduleAfter(
      duration, [this, incarnation = m_incarnation, work = request.work,
                 done = std::move(request.done)]() {
        if (!m_is_alive || incarnation != m_incarnation) {
          return;
        }
        --m_active_requests;
        ++m_completed_requests;
        m_completed_work += work;
        done(true);
        if (!m_queue.empty() && m_active_requests < kMaxConcurrentRequests) {
          Request next = std::move(m_queue.front());
          m_queue.pop_front();
          Process(std::move(next));
        }
      });
}

}  // namespace poplarsail::emulator
