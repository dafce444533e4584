#ifndef EMULATOR_REQUEST_OUTCOME_H_
#define EMULATOR_REQUEST_OUTCOME_H_

#include <cstdint>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

enum class Ending : uint8_t {
  kAnswered,
  // The request was not processed, and its client was told so.
  kRefused,
  kFailed,
};

// The outcome of one request over all its attempts.
struct RequestOutcome {
  SteadyTime begin;
  size_t kind = 0;
  size_t failure_domain = 0;
  // 1 if answered within the latency target, less if late, 0 if failed.
  double utility = 0;
  milliseconds duration{0};
  uint32_t attempts = 0;
  SteadyTime::duration work{0};
  Ending ending = Ending::kFailed;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_REQUEST_OUTCOME_H_
