#ifndef STANDINS_MEMORY_OBJECT_STORE_H_
#define STANDINS_MEMORY_OBJECT_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "objects/objects.h"

namespace poplarsail::standins {

// Faults that are injected into the next calls.
struct StoreFaults {
  // All calls fail without effect.
  bool is_down = false;
  // The number of writes that take effect although their response is lost.
  int responses_to_drop = 0;
};

// In-memory fake of the platform's object API with versions, conditional writes
// and an event log of bounded length. Used directly and by ObjectServer.
class MemoryObjectStore : public objects::ObjectStore {
 public:
  using Listener = std::function<void(const objects::WatchEvent& event)>;

  explicit MemoryObjectStore(size_t log_length = 10'000);

  objects::ObjectList List(const std::string& kind) override;
  model::Object Get(const model::ObjectKey& key) override;
  model::Object Put(const model::Object& object) override;
  void Delete(const model::ObjectKey& key, uint64_t expected_version) override;
  std::unique_ptr<objects::ObjectWatch> Watch(uint64_t from_version) override;
  uint64_t call_count() const override { return m_call_count; }

  StoreFaults& faults() { return m_faults; }
  // Returns the events after `from_version`. Throws CompactedError if the log
  // no longer reaches back to it.
  std::deque<objects::WatchEvent> EventsAfter(uint64_t from_version) const;
  void OnEvent(Listener listener) { m_event_listener = std::move(listener); }
  uint64_t version() const { return m_version; }

 private:
  void BeginCall();
  void DropResponseIfRequested();
  void Append(objects::WatchEvent event);

  size_t m_log_length;
  uint64_t m_version = 0;
  uint64_t m_compacted_version = 0;
  uint64_t m_call_count = 0;
  StoreFaults m_faults;
  std::map<model::ObjectKey, model::Object> m_objects;
  std::deque<objects::WatchEvent> m_log;
  Listener m_event_listener;
};

}  // namespace poplarsail::standins

#endif  // STANDINS_MEMORY_OBJECT_STORE_H_
