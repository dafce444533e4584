#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "entry/entry.h"

namespace poplarsail::entry {
namespace {

using namespace std::chrono_literals;
using Catch::Contains;

TEST_CASE("A histogram counts into cumulative buckets") {
  telemetry::LatencyHistogram histogram;
  histogram.Add(1ms);
  histogram.Add(20ms);
  histogram.Add(90ms);
  histogram.Add(10s);
  const auto family = histogram.Collect("times", "help");
  const auto& buckets = family.metric.at(0).histogram.bucket;
  REQUIRE(buckets.size() == telemetry::kLatencyBounds.size() + 1);
  CHECK(buckets.front().cumulative_count == 1);
  CHECK(buckets[3].cumulative_count == 2);
  CHECK(buckets[5].cumulative_count == 3);
  CHECK(buckets.back().cumulative_count == 4);
  CHECK(histogram.count() == 4);
}

TEST_CASE("The metrics contain decisions, store calls and latencies") {
  PacketCounts packets;
  packets.by_reason[static_cast<size_t>(flows::Reason::kNoUpstream)] = 7;
  flows::Steering steering(
      std::make_unique<flows::LocalFirstPlacement>("regina", 1));
  steering.losses().Add({0xc6120001, 8443}, flows::LossCause::kLate);
  const cluster_state::ClusterState cluster_state;
  StoreCallCounts store;
  store.refused = 3;
  store.era = 4;
  store.unusable_eras = 2;
  const PeerCounts peers;
  SchedulingFigures scheduling;
  scheduling.refused_by_reason["no-room"] = 5;
  scheduling.schedulers = {{"tally", 12, 7, 3}};
  scheduling.waits[{0xc6120001, 8443}].Add(90ms);
  const telemetry::LogCounts log{8, 9};
  const std::string text = FormatMetrics({&packets,
                                          &steering,
                                          &cluster_state,
                                          &store,
                                          &peers,
                                          {{"upstreams", 2'500ms}},
                                          &scheduling,
                                          6,
                                          &log});
  CHECK_THAT(text, Contains("poplarsail_handler_errors_total 6"));
  CHECK_THAT(text,
             Contains("poplarsail_packets_total{reason=\"no-upstream\"} 7"));
  CHECK_THAT(text,
             Contains("poplarsail_store_calls_total{outcome=\"refused\"} 3"));
  CHECK_THAT(
      text,
      Contains("poplarsail_scheduling_refused_total{reason=\"no-room\"} 5"));
  CHECK_THAT(text,
             Contains("poplarsail_scheduler_waiting{service=\"tally\"} 3"));
  CHECK_THAT(text,
             Contains("poplarsail_lost_requests_total{listener=\"198.18.0.1:"
                      "8443\",cause=\"late\"} 1"));
  CHECK_THAT(text, Contains("poplarsail_scheduling_wait_seconds_count{listener="
                            "\"198.18.0.1:8443\"} 1"));
  CHECK_THAT(text, Contains("poplarsail_store_era 4"));
  CHECK_THAT(text, Contains("poplarsail_store_unusable_eras_total 2"));
  CHECK_THAT(text, Contains("poplarsail_log_dropped_lines_total 8"));
  CHECK_THAT(text, Contains("poplarsail_log_failed_writes_total 9"));
  CHECK_THAT(
      text,
      Contains(
          "poplarsail_store_response_age_seconds{kind=\"upstreams\"} 2.5"));
  CHECK_THAT(text, Contains("poplarsail_response_seconds_bucket"));
  CHECK_THAT(text, Contains("poplarsail_opening_seconds_count 0"));
}

}  // namespace
}  // namespace poplarsail::entry
