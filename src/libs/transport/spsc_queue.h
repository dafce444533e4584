#ifndef TRANSPORT_SPSC_QUEUE_H_
#define TRANSPORT_SPSC_QUEUE_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <utility>

namespace poplarsail::transport {

// A ring between two duties: one thread pushes, another pops. It never blocks;
// a push into a full ring is refused and counted, and the sender decides what
// to do with the item.
template <typename Item>
class SpscQueue {
 public:
  explicit SpscQueue(size_t capacity) : m_queue(capacity) {}

  bool TryPush(const Item& item) {
    if (m_queue.push(item)) {
      return true;
    }
    m_refused.fetch_add(1, std::memory_order_relaxed);
    return false;
  }

  bool TryPop(Item& item) { return m_queue.pop(item); }

  uint64_t refused() const { return m_refused.load(std::memory_order_relaxed); }

 private:
  boost::lockfree::spsc_queue<Item> m_queue;
  std::atomic<uint64_t> m_refused = 0;
};

}  // namespace poplarsail::transport

#endif  // TRANSPORT_SPSC_QUEUE_H_
