// Checks of upstreams by connections.
#include <chrono>
#include <utility>

#include "entry/check_log.h"
#include "entry/packet_loop.h"

namespace poplarsail::entry {

namespace {

// `result` proves something about the upstream.
flows::CheckOutcome ToOutcome(CheckResult result) {
  switch (result) {
    case CheckResult::kConnected:
      return flows::CheckOutcome::kConnected;
    case CheckResult::kRefused:
      return flows::CheckOutcome::kRefused;
    case CheckResult::kNoResponse:
    case CheckResult::kInconclusive:
    case CheckResult::kConnectedElsewhere:
      break;
  }
  return flows::CheckOutcome::kNoResponse;
}

}  // namespace

void PacketLoop::StartCheck(const flows::Upstream& upstream) {
  ++m_counts.checks;
  const flows::Upstream* reference =
      m_steering->FindReferenceUpstream(upstream);
  m_checker.Check(upstream.record.id, upstream.record.endpoint,
                  reference == nullptr
                      ? std::nullopt
                      : std::optional(reference->record.endpoint),
                  m_steering->ConnectTimeout(upstream, reference));
}

void PacketLoop::ProbeForTimeout(const flows::Upstream& upstream) {
  const uint64_t upstream_id = upstream.record.id;
  m_checker.Probe(upstream.record.endpoint,
                  m_steering->ConnectTimeout(upstream, nullptr),
                  [this, upstream_id](bool is_connected) {
                    if (is_connected) {
                      m_steering->RecordConnection(
                          upstream_id, std::chrono::steady_clock::now());
                    }
                  });
}

void PacketLoop::RunDueChecks() {
  const auto now = std::chrono::steady_clock::now();
  for (const flows::Upstream* upstream : m_steering->StartDueChecks(now)) {
    StartCheck(*upstream);
  }
}

void PacketLoop::OnCheckResult(uint64_t upstream_id, CheckResult result) {
  if (result == CheckResult::kInconclusive ||
      result == CheckResult::kConnectedElsewhere) {
    ++m_counts.inconclusive_checks;
    LogUnprovenCheck(upstream_id, result);
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  CheckReport report;
  report.upstream_id = upstream_id;
  report.outcome = ToOutcome(result);
  if (const flows::Upstream* upstream =
          m_steering->routing_table().FindUpstream(upstream_id)) {
    report.failure_domain = upstream->record.failure_domain;
    report.previous_health = upstream->liveness.health(now);
  }
  const flows::CheckResultDecision decision =
      m_steering->HandleCheckResult(upstream_id, report.outcome, now);
  report.should_notify_peers = decision.should_notify_peers;
  report.flows_ended = decision.flows_to_reset.size();
  LogCheckResult(report);
  m_counts.failed_checks +=
      report.outcome == flows::CheckOutcome::kNoResponse ? 1 : 0;
  m_counts.refused_checks +=
      report.outcome == flows::CheckOutcome::kRefused ? 1 : 0;
  for (const flows::FlowPacket& packet : decision.flows_to_reset) {
    CountReset(packet, flows::Reason::kUpstreamDead);
    SendReset(packet);
  }
  Flush();
  if (decision.should_notify_peers && m_on_upstream_failure) {
    m_on_upstream_failure(upstream_id);
  }
}

void PacketLoop::ProbeUpstream(uint64_t upstream_id,
                               std::function<void(bool is_connected)> done) {
  const flows::Upstream* upstream =
      m_steering->routing_table().FindUpstream(upstream_id);
  if (upstream == nullptr) {
    done(false);
    return;
  }
  m_checker.Probe(upstream->record.endpoint,
                  m_steering->ConnectTimeout(*upstream, nullptr),
                  std::move(done));
}

void PacketLoop::OnConnectedElsewhere(uint64_t upstream_id) {
  m_checker.RecordConnectionElsewhere(upstream_id);
}

void PacketLoop::OnFailureReport(uint64_t upstream_id) {
  const flows::Upstream* upstream = m_steering->HandleFailureReport(
      upstream_id, std::chrono::steady_clock::now());
  if (upstream != nullptr) {
    StartCheck(*upstream);
  }
}

}  // namespace poplarsail::entry
