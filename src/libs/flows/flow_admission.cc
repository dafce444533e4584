#include "flows/flow_admission.h"

#include <cmath>

namespace poplarsail::flows {

namespace {

// Up to this share of refused requests all new flows are admitted; random peaks
// of an ordinary load reach it.
constexpr double kOrdinaryRefusedShare = 0.1;

}  // namespace

double AdmissionProbability(double refused_share) {
  if (refused_share <= kOrdinaryRefusedShare) {
    return 1;
  }
  return std::pow(kOrdinaryRefusedShare / refused_share, 2);
}

bool FlowAdmission::RecordAnswer(const Ipv4Endpoint& listener,
                                 Upstream* upstream,
                                 const load::AnswerSample& answer,
                                 SteadyTime now) {
  const bool is_refusal = m_detectors[listener].Add(answer, now);
  upstream->refusals.Add(is_refusal, now);
  m_services[upstream->record.service].Add(is_refusal, now);
  return is_refusal;
}

void FlowAdmission::RemoveUnknown(const RoutingTable& routing_table) {
  const auto is_unknown_service = [&routing_table](const auto& item) {
    return routing_table.FindService(item.first) == nullptr;
  };
  std::erase_if(m_detectors, [&routing_table](const auto& item) {
    return routing_table.FindListener(item.first) == nullptr;
  });
  std::erase_if(m_services, is_unknown_service);
  std::erase_if(m_credits, is_unknown_service);
}

double FlowAdmission::RefusedShare(const Upstream& upstream,
                                   SteadyTime now) const {
  const auto service = m_services.find(upstream.record.service);
  const double prior =
      service == m_services.end() ? 0 : service->second.Estimate(0, now);
  return upstream.refusals.Estimate(prior, now);
}

bool FlowAdmission::Admits(const Listener& listener,
                           const Upstream& upstream,
                           SteadyTime now) {
  if (!listener.has_lowest_priority) {
    return true;
  }
  double& credit = m_credits[upstream.record.service];
  credit += AdmissionProbability(RefusedShare(upstream, now));
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

}  // namespace poplarsail::flows
