#include "load/completion_predictor.h"

#include <algorithm>
#include <array>
#include <numeric>

#include "load/speed_estimator.h"

namespace poplarsail::load {
namespace {

// Upstreams with more slots get the mean wait over their slots.
constexpr size_t kMaxExactSlots = 64;

double MeanWait(const UpstreamLoad& load) {
  const double sum = std::accumulate(
      load.remaining_ms.begin(), load.remaining_ms.end(), 0.0,
      [](double total, double item) { return total + std::max(0.0, item); });
  return sum / load.slots;
}

// Each request in order takes the slot that is free first.
double WaitForSlot(const UpstreamLoad& load, size_t slots) {
  if (load.remaining_ms.size() < slots) {
    return 0;
  }
  if (load.remaining_ms.size() == slots) {
    return std::max(0.0, *std::min_element(load.remaining_ms.begin(),
                                           load.remaining_ms.end()));
  }
  if (slots > kMaxExactSlots) {
    return MeanWait(load);
  }
  std::array<double, kMaxExactSlots> free_at;
  const auto end = std::transform(
      load.remaining_ms.begin(), load.remaining_ms.begin() + slots,
      free_at.begin(), [](double item) { return std::max(0.0, item); });
  for (size_t i = slots; i < load.remaining_ms.size(); ++i) {
    *std::min_element(free_at.begin(), end) +=
        std::max(0.0, load.remaining_ms[i]);
  }
  return *std::min_element(free_at.begin(), end);
}

}  // namespace

double PredictCompletionMs(const UpstreamLoad& load, double work_ms) {
  const size_t slots = std::max<uint32_t>(load.slots, 1);
  const double speed = std::clamp(load.speed, kMinSpeed, kMaxSpeed);
  return WaitForSlot(load, slots) + work_ms / speed;
}

}  // namespace poplarsail::load
