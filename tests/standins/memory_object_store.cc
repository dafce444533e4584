#include "standins/memory_object_store.h"

#include <utility>

namespace poplarsail::standins {

using model::Object;
using model::ObjectKey;
using objects::WatchEvent;
using objects::WatchEventType;

namespace {

// A watch that reads the event log of a store. The store must outlive it.
class MemoryWatch : public objects::ObjectWatch {
 public:
  MemoryWatch(MemoryObjectStore* store, uint64_t from_version)
      : m_store(store), m_version(from_version) {}

  std::optional<WatchEvent> Next(model::TimePoint) override {
    if (m_store->faults().is_down) {
      throw objects::UnavailableError(
          "the object store is unavailable (injected fault)");
    }
    const auto events = m_store->EventsAfter(m_version);
    if (events.empty()) {
      return std::nullopt;
    }
    m_version = events.front().object.resource_version;
    return events.front();
  }

 private:
  MemoryObjectStore* m_store;
  uint64_t m_version;
};

}  // namespace

MemoryObjectStore::MemoryObjectStore(size_t log_length)
    : m_log_length(log_length) {}

void MemoryObjectStore::BeginCall() {
  ++m_call_count;
  if (m_faults.is_down) {
    throw objects::UnavailableError(
        "the object store is unavailable (injected fault)");
  }
}

void MemoryObjectStore::DropResponseIfRequested() {
  if (m_faults.responses_to_drop > 0) {
    --m_faults.responses_to_drop;
    throw objects::UnknownOutcomeError(
        "the response to a write was lost (injected fault)");
  }
}

objects::ObjectList MemoryObjectStore::List(const std::string& kind) {
  BeginCall();
  objects::ObjectList list{m_version, {}};
  for (const auto& [key, object] : m_objects) {
    if (kind.empty() || key.kind == kind) {
      list.items.push_back(object);
    }
  }
  return list;
}

Object MemoryObjectStore::Get(const ObjectKey& key) {
  BeginCall();
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) {
    throw objects::NotFoundError(key.kind + "/" + key.name + " does not exist");
  }
  return found->second;
}

Object MemoryObjectStore::Put(const Object& object) {
  BeginCall();
  const auto found = m_objects.find(object.key);
  const uint64_t present =
      found == m_objects.end() ? 0 : found->second.resource_version;
  if (present != object.resource_version) {
    throw objects::ConflictError(object.key.kind + "/" + object.key.name +
                                 " has version " + std::to_string(present) +
                                 "; read it again");
  }
  Object stored = object;
  const bool spec_changed = present == 0 || found->second.spec != object.spec;
  stored.generation =
      (present == 0 ? 0 : found->second.generation) + (spec_changed ? 1 : 0);
  stored.resource_version = ++m_version;
  m_objects[object.key] = stored;
  Append({WatchEventType::kPut, stored});
  DropResponseIfRequested();
  return stored;
}

void MemoryObjectStore::Delete(const ObjectKey& key,
                               uint64_t expected_version) {
  const Object stored = Get(key);
  if (stored.resource_version != expected_version) {
    throw objects::ConflictError(key.kind + "/" + key.name +
                                 " was changed by another writer");
  }
  Object deleted = stored;
  deleted.resource_version = ++m_version;
  m_objects.erase(key);
  Append({WatchEventType::kDeleted, deleted});
  DropResponseIfRequested();
}

std::unique_ptr<objects::ObjectWatch> MemoryObjectStore::Watch(
    uint64_t from_version) {
  BeginCall();
  EventsAfter(from_version);
  return std::make_unique<MemoryWatch>(this, from_version);
}

std::deque<WatchEvent> MemoryObjectStore::EventsAfter(
    uint64_t from_version) const {
  if (from_version < m_compacted_version) {
    throw objects::CompactedError(
        "the resource version has been compacted; list again");
  }
  std::deque<WatchEvent> events;
  for (const WatchEvent& event : m_log) {
    if (event.object.resource_version > from_version) {
      events.push_back(event);
    }
  }
  return events;
}

void MemoryObjectStore::Append(WatchEvent event) {
  m_log.push_back(event);
  if (m_log.size() > m_log_length) {
    m_compacted_version = m_log.front().object.resource_version;
    m_log.pop_front();
  }
  if (m_event_listener) {
    m_event_listener(event);
  }
}

}  // namespace poplarsail::standins
