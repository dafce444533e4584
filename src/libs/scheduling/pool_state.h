#ifndef SCHEDULING_POOL_STATE_H_
#define SCHEDULING_POOL_STATE_H_

#include <algorithm>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "load/load.h"
#include "scheduling/types.h"

namespace poplarsail::scheduling {

struct RequestKeyHash {
  size_t operator()(const RequestKey& key) const {
    return std::hash<Ipv4Endpoint>()(key.host) * 0x9E3779B97F4A7C15U ^
           key.token * 0xC2B2AE3D27D4EB4FU;
  }
};

// A flow that occupies a place at an upstream.
struct OutstandingFlow {
  RequestKey key;
  Ipv4Endpoint listener;
  uint64_t upstream_id = 0;
  SteadyTime granted;
  // When it counts as gone, whatever its host says.
  SteadyTime expires;
  double work_ms = 0;
  // A slot was free for it when it was granted, so its response time has no
  // queueing in it.
  bool had_free_slot = false;
  // Granted by this scheduler, so the time of the grant is known.
  bool is_granted = false;
};

// The capacity that is in rotation.
struct Capacity {
  uint32_t places = 0;
  uint32_t outstanding = 0;
  uint32_t free_slots = 0;
  // Milliseconds of work done per millisecond by all slots together.
  double work_rate = 0;
  double mean_speed = 1;
  // Work that waits at upstreams beyond their slots.
  double backlog_ms = 0;
  bool has_usable = false;
  // Some upstreams take flows at a limited rate.
  bool has_cold = false;
};

// What a request needs of a place.
struct PlaceDemand {
  double work_ms = 0;
  // Latest acceptable completion.
  double limit_ms = 0;
  std::span<const uint64_t> excluded;
  bool allow_extra = true;
};

// The upstreams of a pool and the flows outstanding there.
class PoolState {
 public:
  explicit PoolState(uint64_t seed) : m_random(seed) {}

  // Returns the flows that ended because their upstream left or restarted.
  std::vector<OutstandingFlow> Update(const Pool& pool, SteadyTime now);

  // The upstream with the earliest predicted completion among those with a free
  // place; one of those nearly as early at random.
  std::optional<uint64_t> Choose(const PlaceDemand& demand, SteadyTime now);
  // Whether any upstream has a place within its slots or beyond them.
  bool HasPlace(SteadyTime now) const;

  // A flow granted here, or one that its host placed (`is_granted` false).
  void Add(OutstandingFlow flow, bool is_granted, SteadyTime now);
  std::optional<OutstandingFlow> Remove(const RequestKey& key, SteadyTime now);
  const OutstandingFlow* Find(const RequestKey& key) const;
  void SetExpiry(const RequestKey& key, SteadyTime expires);
  std::vector<RequestKey> KeysOf(const Ipv4Endpoint& host) const;
  std::vector<RequestKey> Expired(SteadyTime now) const;

  void RecordFailure(const OutstandingFlow& flow, SteadyTime now);
  // The upstream has responded, which ends a failure.
  void RecordSign(uint64_t upstream_id);
  void RecordResponse(const OutstandingFlow& flow,
                      double response_ms,
                      SteadyTime now);
  // Mean time for which a granted flow occupies its place without being at a
  // slot: the handshake, and about as long for the way of the response and of
  // the completion report.
  double transit_ms() const { return m_handshake_ms * 2; }
  // The work in a response time, at the speed of its upstream.
  double WorkOf(double response_ms) const {
    return std::max(response_ms - m_handshake_ms, response_ms * kMinWorkShare);
  }
  // The mean work of a request, which with the transit time gives the number of
  // flows that keep the slots of an upstream busy.
  void SetMeanWork(double work_ms);

  // Refreshes speeds and the expected ends of outstanding flows.
  // `remaining_ms` maps a flow and the work done on it to the work left.
  template <typename RemainingMs>
  void Refresh(SteadyTime now, RemainingMs remaining_ms);

  Capacity CapacityAt(SteadyTime now) const;
  // Whether the upstream is in the pool.
  bool Contains(uint64_t upstream_id) const;
  bool IsCold(uint64_t upstream_id, SteadyTime now) const;
  double SpeedOf(uint64_t upstream_id) const;
  // The highest speed of an upstream in rotation, as of the last refresh.
  double fastest_speed() const { return m_fastest_speed; }
  // Number of failure domains that share the rate of cold upstreams.
  void SetDomainCount(uint32_t count) { m_domain_count = count; }

  struct SpeedRecord {
    uint64_t upstream_id = 0;
    int64_t started_unix_ms = 0;
    double speed = 1;
    double samples = 0;
  };
  std::vector<SpeedRecord> Speeds(SteadyTime now) const;
  void SeedSpeed(const SpeedRecord& record, SteadyTime now);

 private:
  // However long handshakes take, this share of a response is work.
  static constexpr double kMinWorkShare = 0.25;

  // A request that is being worked on or waits at its upstream.
  struct Running {
    RequestKey key;
    double work_ms = 0;
    bool is_started = false;
    SteadyTime started;
    SteadyTime end;
  };

  struct Upstream {
    PoolUpstream record;
    uint32_t slots = 1;
    // Flows that keep the slots busy, including those in transit.
    uint32_t pipeline = 1;
    // Flows that it may have now; grows up to the pipeline plus one.
    uint32_t limit = 1;
    double speed = 1;
    SteadyTime earliest_end;
    // Work of flows that wait there.
    double backlog_ms = 0;
    SteadyTime next_cold_grant;
    // Set while failed: out of rotation until this time, then on trial.
    bool is_failed = false;
    SteadyTime out_until;
    SteadyTime last_failure;
    // Failures since the last response.
    uint32_t failure_count = 0;
    milliseconds back_off{0};
    std::optional<RequestKey> trial;
    std::vector<Running> running;
    load::SpeedEstimator estimator;
  };

  bool IsUsable(const Upstream& upstream, SteadyTime now) const;
  bool HasFreeSlot(const Upstream& upstream, SteadyTime now) const;
  bool HasExtraPlace(const Upstream& upstream, SteadyTime now) const;
  double EffectiveSpeed(const Upstream& upstream, SteadyTime now) const;
  bool MustAvoid(const Upstream& upstream,
                 std::span<const uint64_t> excluded) const;
  bool HasAlternative(std::span<const uint64_t> excluded, SteadyTime now) const;
  std::optional<uint64_t> ChooseAmong(const PlaceDemand& demand,
                                      bool is_extra,
                                      bool obey_exclusions,
                                      SteadyTime now);
  uint32_t PipelineOf(uint32_t slots, double speed) const;
  void StartNext(Upstream& upstream, SteadyTime now);
  static void UpdateForecast(Upstream& upstream);
  Upstream* FindUpstream(uint64_t id);
  const Upstream* FindUpstream(uint64_t id) const;

  std::vector<Upstream> m_upstreams;
  std::unordered_map<uint64_t, size_t> m_index;
  std::unordered_map<RequestKey, OutstandingFlow, RequestKeyHash> m_flows;
  double m_handshake_ms = 0;
  double m_mean_work_ms = 0;
  double m_fastest_speed = 1;
  double m_cold_flows_per_second = 0;
  uint32_t m_domain_count = 1;
  // Predicted completions of one decision, by upstream; kept to avoid
  // allocations.
  std::vector<double> m_scratch;
  std::vector<size_t> m_ties;
  std::mt19937_64 m_random;
};

template <typename RemainingMs>
void PoolState::Refresh(SteadyTime now, RemainingMs remaining_ms) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  double fastest_speed = 0;
  for (Upstream& upstream : m_upstreams) {
    upstream.speed = upstream.estimator.Speed(now);
    const double speed = EffectiveSpeed(upstream, now);
    if (IsUsable(upstream, now)) {
      fastest_speed = std::max(fastest_speed, speed);
    }
    for (Running& running : upstream.running) {
      if (!running.is_started || running.end > now) {
        continue;
      }
      const double elapsed_ms = Milliseconds(now - running.started).count();
      const auto flow = m_flows.find(running.key);
      const double left_ms =
          remaining_ms(flow->second, elapsed_ms * speed) / speed;
      running.end = now + std::chrono::duration_cast<SteadyTime::duration>(
                              Milliseconds(left_ms));
    }
    UpdateForecast(upstream);
  }
  m_fastest_speed = fastest_speed > 0 ? fastest_speed : 1;
}

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_POOL_STATE_H_
