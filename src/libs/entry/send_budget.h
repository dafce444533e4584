#ifndef ENTRY_SEND_BUDGET_H_
#define ENTRY_SEND_BUDGET_H_

#include <cstddef>

#include "cluster_state/records.h"

namespace poplarsail::entry {

// Bounds the bytes that are sent. Load pattern: all hosts of a large fleet
// start while the store is away, and each asks for the whole belief.
class SendBudget {
 public:
  explicit SendBudget(double bytes_per_second)
      : m_bytes_per_second(bytes_per_second) {}

  // Returns whether `bytes` may be sent now. The budget may be overdrawn by one
  // message, so that a message of any size gets through.
  bool Take(size_t bytes, cluster_state::SteadyTime now);

 private:
  double m_bytes_per_second;
  // When the bytes that were taken so far are paid for.
  cluster_state::SteadyTime m_paid_at;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_SEND_BUDGET_H_
