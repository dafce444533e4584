#ifndef SCHEDULING_FAIR_QUEUE_H_
#define SCHEDULING_FAIR_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "scheduling/pool_state.h"
#include "scheduling/types.h"

namespace poplarsail::scheduling {

struct WaitingRequest {
  PlacementRequest request;
  uint32_t priority = 0;
  // Expected work.
  double work_ms = 0;
  SteadyTime submitted;
  // Latest acceptable completion.
  SteadyTime complete_by;
  // Refused if it still waits then.
  SteadyTime leave_by;
  // The target is below the work itself: it is granted late rather than never.
  bool is_unservable = false;
  // Another domain was asked already.
  bool was_forwarded = false;
};

// Requests that wait for a place: by priority, then by start-time fair queueing
// over listeners, then over the client addresses of a listener, all with equal
// weights by work.
class FairQueue {
 public:
  void Push(WaitingRequest waiting);

  // Calls `visit` with the requests that may be granted next, in their order
  // (the first one of each client), until it returns true; that request is
  // removed and returned. With `lowest_first`, lower priorities come first.
  using Visitor = std::function<bool(const WaitingRequest&)>;
  std::optional<WaitingRequest> TakeNext(bool lowest_first,
                                         const Visitor& visit);

  std::optional<WaitingRequest> Remove(const RequestKey& key);
  // Removes the newest request of the lowest priority if that is below
  // `priority`.
  std::optional<WaitingRequest> EvictBelow(uint32_t priority);

  // The work that a new request of a priority, listener and client would wait
  // for if nothing else arrived.
  double WorkAheadMs(uint32_t priority,
                     const Ipv4Endpoint& listener,
                     uint32_t client_address) const;
  // All requests in the order in which they will be granted.
  std::vector<const WaitingRequest*> InOrder() const;

  bool Contains(const RequestKey& key) const { return m_keys.contains(key); }
  size_t size() const { return m_keys.size(); }
  double total_work_ms() const;
  std::map<uint32_t, size_t> CountByPriority() const;
  // Forgets the shares of listeners and clients that are no longer ahead.
  void Purge();

 private:
  // Virtual times are milliseconds of work.
  struct Client {
    std::deque<WaitingRequest> requests;
    double start = 0;
  };
  struct Listener {
    std::map<uint32_t, Client> clients;
    double start = 0;
    // Start of the last request granted.
    double virtual_time = 0;
    size_t count = 0;
    double work_ms = 0;
  };
  struct Level {
    std::map<Ipv4Endpoint, Listener> listeners;
    double virtual_time = 0;
    size_t count = 0;
    double work_ms = 0;
  };
  struct Position {
    uint32_t priority = 0;
    Ipv4Endpoint listener;
    uint32_t client_address = 0;
  };

  WaitingRequest TakeFrom(const Position& position,
                          std::deque<WaitingRequest>::iterator request);
  static double WorkAheadInListener(const Listener& listener,
                                    uint32_t client_address);
  static std::vector<std::pair<double, Ipv4Endpoint>> ListenersByStart(
      const Level& level);
  static std::vector<std::pair<double, uint32_t>> ClientHeap(
      const Listener& listener);
  static void AppendInOrder(const Level& level,
                            std::vector<const WaitingRequest*>& order);

  std::map<uint32_t, Level> m_levels;
  std::unordered_map<RequestKey, Position, RequestKeyHash> m_keys;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_FAIR_QUEUE_H_
