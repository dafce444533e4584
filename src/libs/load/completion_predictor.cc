#include "load/completion_predictor.h"

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <span>

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
  if (slots > kMaxExactSlots) {
    return MeanWait(load);
  }
  std::array<double, kMaxExactSlots> free_at;
  const std::span<double> heap(free_at.data(), slots);
  for (size_t i = 0; i < slots; ++i) {
    heap[i] = std::max(0.0, load.remaining_ms[i]);
  }
  std::make_heap(heap.begin(), heap.end(), std::greater<>());
  for (size_t i = slots; i < load.remaining_ms.size(); ++i) {
    std::pop_heap(heap.begin(), heap.end(), std::greater<>());
    heap.back() += std::max(0.0, load.remaining_ms[i]);
    std::push_heap(heap.begin(), heap.end(), std::greater<>());
  }
  return heap.front();
}

}  // namespace

double PredictCompletionMs(const UpstreamLoad& load, double work_ms) {
  const size_t slots = std::max<uint32_t>(load.slots, 1);
  const double speed = std::clamp(load.speed, kMinSpeed, kMaxSpeed);
  return WaitForSlot(load, slots) + work_ms / speed;
}

}  // namespace poplarsail::load
