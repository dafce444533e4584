#ifndef SOAK_PROCESSOR_SHARE_H_
#define SOAK_PROCESSOR_SHARE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <vector>

#include "soak/entry_process.h"

namespace poplarsail::soak {

// Gives each process a share of a core: it runs at full speed until it has used
// up the allotment of a period and is stopped for the rest of it.
class ProcessorShare {
 public:
  ProcessorShare(boost::asio::io_context* context, double share);

  // `process` has to outlive this object.
  void Add(EntryProcess* process);

 private:
  struct Allotment {
    EntryProcess* process = nullptr;
    Clock::time_point process_start;
    std::chrono::nanoseconds used{0};
    // Below 0 if the process was stopped too late.
    std::chrono::nanoseconds left{0};
    Clock::time_point next_refill;
  };

  void Update();
  void Update(Allotment* allotment);

  std::chrono::nanoseconds m_refill;
  boost::asio::steady_timer m_timer;
  std::vector<Allotment> m_allotments;
};

}  // namespace poplarsail::soak

#endif  // SOAK_PROCESSOR_SHARE_H_
