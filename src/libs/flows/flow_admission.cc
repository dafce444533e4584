#include "flows/flow_admission.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace poplarsail::flows {

namespace {

// Up to this share of refused requests all new flows are admitted; random peaks
// of an ordinary load reach it.
constexpr double kOrdinaryRefusedShare = 0.1;

// Returns the lower of two median values. `values` is not empty; its order
// changes.
double Median(std::vector<double>* values) {
  const auto middle =
      values->begin() + static_cast<std::ptrdiff_t>((values->size() - 1) / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

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
  return is_refusal;
}

void FlowAdmission::RemoveUnknown(const RoutingTable& routing_table) {
  std::erase_if(m_detectors, [&routing_table](const auto& item) {
    return routing_table.FindListener(item.first) == nullptr;
  });
  std::erase_if(m_services, [&routing_table](const auto& item) {
    return routing_table.FindService(item.first) == nullptr;
  });
}

void FlowAdmission::Update(const RoutingTable& routing_table, SteadyTime now) {
  for (const auto& [name, service] : routing_table.services()) {
    std::vector<double> shares;
    for (const Upstream* upstream : service.upstreams) {
      if (upstream->refusals.HasRecentRequests(now)) {
        shares.push_back(upstream->refusals.Estimate(now));
      }
    }
    m_services[name].refused_share = shares.empty() ? 0 : Median(&shares);
  }
}

bool FlowAdmission::Admits(const Listener& listener,
                           const std::string& service) {
  const auto state = m_services.find(service);
  if (!listener.has_lowest_priority || state == m_services.end()) {
    return true;
  }
  double& credit = state->second.credit;
  credit += AdmissionProbability(state->second.refused_share);
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

}  // namespace poplarsail::flows
