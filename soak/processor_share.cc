#include "soak/processor_share.h"

#include <algorithm>

namespace poplarsail::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kPeriod{100};
constexpr milliseconds kUpdateInterval{1};

}  // namespace

ProcessorShare::ProcessorShare(boost::asio::io_context* context, double share)
    : m_refill(std::chrono::duration_cast<nanoseconds>(kPeriod * share)),
      m_timer(*context) {
  Update();
}

void ProcessorShare::Add(EntryProcess* process) {
  // The periods of the processes don't begin at the same time.
  constexpr milliseconds kOffset{17};
  m_allotments.push_back(
      {process, process->started_at(), nanoseconds(0), m_refill,
       Clock::now() + kOffset * m_allotments.size() % kPeriod});
}

void ProcessorShare::Update() {
  for (Allotment& allotment : m_allotments) {
    Update(&allotment);
  }
  m_timer.expires_after(kUpdateInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Update();
    }
  });
}

void ProcessorShare::Update(Allotment* allotment) {
  EntryProcess* process = allotment->process;
  if (allotment->process_start != process->started_at()) {
    allotment->process_start = process->started_at();
    allotment->used = nanoseconds(0);
  }
  const nanoseconds used = process->PreciseProcessorTime();
  allotment->left -= used - allotment->used;
  allotment->used = used;
  while (Clock::now() >= allotment->next_refill) {
    allotment->left = std::min(allotment->left + m_refill, m_refill);
    allotment->next_refill += kPeriod;
  }
  if (allotment->left > nanoseconds(0)) {
    process->Release(HoldReason::kAllotment);
  } else {
    process->Hold(HoldReason::kAllotment);
  }
}

}  // namespace poplarsail::soak
