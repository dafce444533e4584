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
// The object has another version than the writer expected.
class ConflictError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
class NotFoundError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The store refused the request as wrong.
class RejectedError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The version to watch from is no longer kept: list again.
class CompactedError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The store can't be reached or is overloaded; nothing was written.
class UnavailableError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};
// The answer to a write was lost: it may have taken effect.
class UnknownOutcomeError : public ObjectStoreError {
 public:
  using ObjectStoreError::ObjectStoreError;
};

// All objects of a kind, as of one version of the store.
struct ObjectList {
  uint64_t resource_version = 0;
  std::vector<Object> items;

  friend bool operator==(const ObjectList&, const ObjectList&) = default;
};

enum class WatchEventType : uint8_t { kPut, kDeleted, kBookmark };

// One change of the store. A bookmark carries a version only.
struct WatchEvent {
  WatchEventType type = WatchEventType::kBookmark;
  Object object;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

// A stream of changes, in the order of their versions.
class ObjectWatch {
 public:
  virtual ~ObjectWatch() = default;
  // Waits until `deadline` at the most; nothing where no event came. Throws
  // UnavailableError when the stream broke; resume from the last version.
  virtual std::optional<WatchEvent> Next(model::TimePoint deadline) = 0;
};

// The platform's object API. Each call throws one of the errors above. Not
// thread-safe.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // An empty kind lists all kinds.
  virtual ObjectList List(const std::string& kind) = 0;
  virtual Object Get(const ObjectKey& key) = 0;
  // Writes where the stored version is `object.resource_version` (0: where
  // there is none). Returns the object as stored.
  virtual Object Put(const Object& object) = 0;
  virtual void Delete(const ObjectKey& key, uint64_t expected_version) = 0;
  // Streams changes of all kinds after `from_version`.
  virtual std::unique_ptr<ObjectWatch> Watch(uint64_t from_version) = 0;

  // The number of calls so far, a watch counting as one.
  virtual uint64_t call_count() const = 0;
};

// Writes, and resolves an unknown outcome by reading back: where the stored
// object holds what was to be written, the write took effect; where the
// version did not change, it writes again; else throws ConflictError. Gives up
// with UnknownOutcomeError after `max_reads` failed reads.
Object PutWithReadBack(ObjectStore* store, const Object& object, int max_reads);

}  // namespace poplarsail::objects

#endif  // OBJECTS_OBJECT_STORE_H_
