#ifndef OBJECTS_OBJECT_STORE_H_
#define OBJECTS_OBJECT_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/model.h"

namespace poplarsail::objects {

using model::Object;
using model::ObjectKey;

class ObjectStoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};
// The stored version of the object is not the one that the writer expected.
class ConflictError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
class NotFoundError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The store rejected the request as invalid.
class RejectedError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The store no longer keeps the events after the requested version; list the
// objects again.
class CompactedError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The store can't be reached or is overloaded; nothing was written.
class UnavailableError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The response to a write was lost, so the write may have taken effect.
class UnknownOutcomeError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};

// A consistent snapshot of the objects at one version of the store.
struct ObjectList {
  uint64_t resource_version = 0;
  std::vector<Object> items;

  friend bool operator==(const ObjectList&, const ObjectList&) = default;
};

enum class WatchEventType : uint8_t { kPut, kDeleted, kBookmark };

// One change of the store. A bookmark carries only a resource version.
struct WatchEvent {
  WatchEventType type = WatchEventType::kBookmark;
  Object object;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

// A stream of changes, in the order of their versions.
class ObjectWatch {
 public:
  virtual ~ObjectWatch() = default;
  // Waits for an event and returns nullopt if there was none by `deadline`.
  // Throws UnavailableError if the stream broke; a new watch can resume from
  // the last version received.
  virtual std::optional<WatchEvent> Next(model::TimePoint deadline) = 0;
};

// The platform's object API. All calls report failures by the errors above. Not
// thread-safe.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // An empty kind lists all kinds.
  virtual ObjectList List(const std::string& kind) = 0;
  virtual Object Get(const ObjectKey& key) = 0;
  // Writes the object if the stored version equals `object.resource_version`; 0
  // creates it. Returns the object as stored.
  virtual Object Put(const Object& object) = 0;
  virtual void Delete(const ObjectKey& key, uint64_t expected_version) = 0;
  // Streams changes of all kinds after `from_version`.
  virtual std::unique_ptr<ObjectWatch> Watch(uint64_t from_version) = 0;

  // Number of calls so far; a watch counts as one call.
  virtual uint64_t call_count() const = 0;
};

// Writes the object. If the outcome is unknown, reads the object back: equal
// contents mean that the write took effect, and an unchanged version that it
// has to be repeated; otherwise throws ConflictError. Throws
// UnknownOutcomeError after `max_read_backs` failed reads.
Object PutWithReadBack(ObjectStore* store,
                       const Object& object,
                       int max_read_backs);

}  // namespace poplarsail::objects

#endif  // OBJECTS_OBJECT_STORE_H_
