#include "load/refusal_detector.h"

namespace poplarsail::load {

namespace {

// Answers below this part of the usual size are refusals.
constexpr double kRefusalSizeRatio = 0.3;
// Weights of a new sample in the moving average. That of a refusal is small, so
// that a long overload does not make refusals usual, but not 0, so that the
// average follows responses that become shorter.
constexpr double kResponseWeight = 0.05;
constexpr double kRefusalWeight = 0.001;

}  // namespace

bool RefusalDetector::Add(uint32_t bytes) {
  if (m_usual_bytes == 0) {
    m_usual_bytes = bytes;
    return false;
  }
  const bool is_refusal = bytes < kRefusalSizeRatio * m_usual_bytes;
  const double weight = is_refusal ? kRefusalWeight : kResponseWeight;
  m_usual_bytes += weight * (bytes - m_usual_bytes);
  return is_refusal;
}

}  // namespace poplarsail::load
