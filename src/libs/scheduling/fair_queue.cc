#include "scheduling/fair_queue.h"

#include <algorithm>

namespace poplarsail::scheduling {

void FairQueue::Push(WaitingRequest waiting) {
  const Position position{waiting.priority, waiting.request.listener,
                          waiting.request.client_address};
  Level& level = m_levels[position.priority];
  Listener& listener = level.listeners[position.listener];
  Client& client = listener.clients[position.client_address];
  if (listener.count == 0) {
    listener.start = std::max(listener.start, level.virtual_time);
  }
  if (client.requests.empty()) {
    client.start = std::max(client.start, listener.virtual_time);
  }
  ++level.count;
  ++listener.count;
  level.work_ms += waiting.work_ms;
  listener.work_ms += waiting.work_ms;
  m_keys.emplace(waiting.request.key, position);
  client.requests.push_back(std::move(waiting));
}

WaitingRequest FairQueue::TakeFrom(
    const Position& position,
    std::deque<WaitingRequest>::iterator request) {
  Level& level = m_levels.at(position.priority);
  Listener& listener = level.listeners.at(position.listener);
  Client& client = listener.clients.at(position.client_address);
  WaitingRequest taken = std::move(*request);
  client.requests.erase(request);
  --level.count;
  --listener.count;
  // Without the rounding errors of earlier sums.
  level.work_ms = level.count == 0 ? 0 : level.work_ms - taken.work_ms;
  listener.work_ms = listener.count == 0 ? 0 : listener.work_ms - taken.work_ms;
  m_keys.erase(taken.request.key);
  return taken;
}

std::vector<std::pair<double, Ipv4Endpoint>> FairQueue::ListenersByStart(
    const Level& level) {
  std::vector<std::pair<double, Ipv4Endpoint>> order;
  for (const auto& [endpoint, listener] : level.listeners) {
    if (listener.count > 0) {
      order.emplace_back(listener.start, endpoint);
    }
  }
  std::ranges::sort(order);
  return order;
}

std::vector<std::pair<double, uint32_t>> FairQueue::ClientHeap(
    const Listener& listener) {
  std::vector<std::pair<double, uint32_t>> heap;
  heap.reserve(listener.clients.size());
  for (const auto& [address, client] : listener.clients) {
    if (!client.requests.empty()) {
      heap.emplace_back(client.start, address);
    }
  }
  std::ranges::make_heap(heap, std::greater<>());
  return heap;
}

std::optional<WaitingRequest> FairQueue::TakeNext(bool lowest_first,
                                                  const Visitor& visit) {
  std::vector<uint32_t> priorities;
  for (const auto& [priority, level] : m_levels) {
    if (level.count > 0) {
      priorities.push_back(priority);
    }
  }
  if (lowest_first) {
    std::ranges::reverse(priorities);
  }
  for (const uint32_t priority : priorities) {
    Level& level = m_levels.at(priority);
    for (const auto& [start, endpoint] : ListenersByStart(level)) {
      Listener& listener = level.listeners.at(endpoint);
      // Nearly always the first client is taken, so no order of all is needed.
      auto heap = ClientHeap(listener);
      for (; !heap.empty(); heap.pop_back()) {
        std::ranges::pop_heap(heap, std::greater<>());
        const auto [client_start, address] = heap.back();
        Client& client = listener.clients.at(address);
        if (!visit(client.requests.front())) {
          continue;
        }
        WaitingRequest taken =
            TakeFrom({priority, endpoint, address}, client.requests.begin());
        level.virtual_time = std::max(level.virtual_time, start);
        listener.virtual_time = std::max(listener.virtual_time, client_start);
        listener.start += taken.work_ms;
        client.start += taken.work_ms;
        return taken;
      }
    }
  }
  return std::nullopt;
}

std::optional<WaitingRequest> FairQueue::Remove(const RequestKey& key) {
  const auto found = m_keys.find(key);
  if (found == m_keys.end()) {
    return std::nullopt;
  }
  const Position position = found->second;
  auto& requests = m_levels.at(position.priority)
                       .listeners.at(position.listener)
                       .clients.at(position.client_address)
                       .requests;
  return TakeFrom(position, std::ranges::find_if(requests, [&](const auto& it) {
                    return it.request.key == key;
                  }));
}

std::optional<WaitingRequest> FairQueue::EvictBelow(uint32_t priority) {
  for (auto it = m_levels.rbegin(); it != m_levels.rend(); ++it) {
    const auto& [lowest, level] = *it;
    if (lowest <= priority) {
      return std::nullopt;
    }
    const WaitingRequest* newest = nullptr;
    for (const auto& [endpoint, listener] : level.listeners) {
      for (const auto& [address, client] : listener.clients) {
        if (client.requests.empty()) {
          continue;
        }
        if (!newest || client.requests.back().submitted > newest->submitted) {
          newest = &client.requests.back();
        }
      }
    }
    if (newest) {
      return Remove(RequestKey(newest->request.key));
    }
  }
  return std::nullopt;
}

double FairQueue::WorkAheadInListener(const Listener& listener,
                                      uint32_t client_address) {
  const auto own = listener.clients.find(client_address);
  const double mean_ms =
      listener.count > 0 ? listener.work_ms / listener.count : 0;
  double start = listener.virtual_time;
  if (own != listener.clients.end()) {
    start = std::max(own->second.start, start) +
            own->second.requests.size() * mean_ms;
  }
  double ahead_ms = 0;
  for (const auto& [address, client] : listener.clients) {
    if (client.requests.empty() || client.start > start) {
      continue;
    }
    const double work_ms = client.requests.size() * mean_ms;
    ahead_ms += address == client_address
                    ? work_ms
                    : std::min(work_ms, start - client.start + mean_ms);
  }
  return ahead_ms;
}

double FairQueue::WorkAheadMs(uint32_t priority,
                              const Ipv4Endpoint& endpoint,
                              uint32_t client_address) const {
  double ahead_ms = 0;
  for (const auto& [other, level] : m_levels) {
    if (other < priority) {
      ahead_ms += level.work_ms;
    }
  }
  const auto level = m_levels.find(priority);
  if (level == m_levels.end()) {
    return ahead_ms;
  }
  double start = level->second.virtual_time;
  const auto own = level->second.listeners.find(endpoint);
  if (own != level->second.listeners.end()) {
    const double own_ahead_ms =
        WorkAheadInListener(own->second, client_address);
    start = std::max(own->second.start, start) + own_ahead_ms;
    ahead_ms += own_ahead_ms;
  }
  for (const auto& [other, listener] : level->second.listeners) {
    if (other == endpoint || listener.count == 0 || listener.start > start) {
      continue;
    }
    const double mean_ms = listener.work_ms / listener.count;
    ahead_ms += std::min(listener.work_ms, start - listener.start + mean_ms);
  }
  return ahead_ms;
}

void FairQueue::AppendInOrder(const Level& level,
                              std::vector<const WaitingRequest*>& order) {
  struct ClientCursor {
    double start;
    const Client* client;
    size_t next;
    bool operator>(const ClientCursor& other) const {
      return start > other.start;
    }
  };
  struct ListenerCursor {
    double start;
    std::vector<ClientCursor> clients;
    bool operator>(const ListenerCursor& other) const {
      return start > other.start;
    }
  };
  std::vector<ListenerCursor> listeners;
  for (const auto& [endpoint, listener] : level.listeners) {
    ListenerCursor cursor{listener.start, {}};
    for (const auto& [address, client] : listener.clients) {
      if (!client.requests.empty()) {
        cursor.clients.push_back({client.start, &client, 0});
      }
    }
    std::ranges::make_heap(cursor.clients, std::greater<>());
    if (!cursor.clients.empty()) {
      listeners.push_back(std::move(cursor));
    }
  }
  while (!listeners.empty()) {
    const auto first = std::ranges::min_element(
        listeners, {}, [](const ListenerCursor& it) { return it.start; });
    std::ranges::pop_heap(first->clients, std::greater<>());
    ClientCursor& client = first->clients.back();
    const WaitingRequest& request = client.client->requests[client.next];
    order.push_back(&request);
    first->start += request.work_ms;
    client.start += request.work_ms;
    if (++client.next < client.client->requests.size()) {
      std::ranges::push_heap(first->clients, std::greater<>());
    } else {
      first->clients.pop_back();
    }
    if (first->clients.empty()) {
      listeners.erase(first);
    }
  }
}

std::vector<const WaitingRequest*> FairQueue::InOrder() const {
  std::vector<const WaitingRequest*> order;
  order.reserve(size());
  for (const auto& [priority, level] : m_levels) {
    AppendInOrder(level, order);
  }
  return order;
}

double FairQueue::total_work_ms() const {
  double work_ms = 0;
  for (const auto& [priority, level] : m_levels) {
    work_ms += level.work_ms;
  }
  return work_ms;
}

std::map<uint32_t, size_t> FairQueue::CountByPriority() const {
  std::map<uint32_t, size_t> counts;
  for (const auto& [priority, level] : m_levels) {
    if (level.count > 0) {
      counts.emplace(priority, level.count);
    }
  }
  return counts;
}

void FairQueue::Purge() {
  for (auto& [priority, level] : m_levels) {
    for (auto& [endpoint, listener] : level.listeners) {
      std::erase_if(listener.clients, [&parent = listener](const auto& entry) {
        const Client& client = entry.second;
        return client.requests.empty() &&
               (parent.count == 0 || client.start <= parent.virtual_time);
      });
    }
    std::erase_if(level.listeners, [&parent = level](const auto& entry) {
      const Listener& listener = entry.second;
      return listener.count == 0 &&
             (parent.count == 0 || listener.start <= parent.virtual_time);
    });
  }
  std::erase_if(m_levels,
                [](const auto& entry) { return entry.second.count == 0; });
}

}  // namespace poplarsail::scheduling
