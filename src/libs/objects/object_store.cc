#include "objects/object_store.h"

#include <fmt/format.h>

namespace poplarsail::objects {

namespace {

enum class ReadBackResult : uint8_t { kWritten, kNotWritten, kConflict };

// Compares the stored object with the one that was to be written.
ReadBackResult CompareReadBack(const std::optional<Object>& stored,
                               const Object& intended) {
  const uint64_t version = stored ? stored->resource_version : 0;
  if (version == intended.resource_version) {
    return ReadBackResult::kNotWritten;
  }
  const bool is_equal = stored && stored->spec == intended.spec &&
                        stored->status == intended.status;
  return is_equal ? ReadBackResult::kWritten : ReadBackResult::kConflict;
}

std::optional<Object> GetIfExists(ObjectStore* store, const ObjectKey& key) {
  try {
    return store->Get(key);
  } catch (const NotFoundError&) {
    return std::nullopt;
  }
}

}  // namespace

Object PutWithReadBack(ObjectStore* store,
                       const Object& object,
                       int max_read_backs) {
  bool needs_read_back = false;
  for (int attempt = 0; attempt <= max_read_backs; ++attempt) {
    try {
      if (needs_read_back) {
        const std::optional<Object> stored = GetIfExists(store, object.key);
        switch (CompareReadBack(stored, object)) {
          case ReadBackResult::kWritten:
            return *stored;
          case ReadBackResult::kConflict:
            throw ConflictError(
                fmt::format("{}/{} was changed by another writer; read it "
                            "again and retry the change",
                            object.key.kind, object.key.name));
          case ReadBackResult::kNotWritten:
            break;
        }
      }
      return store->Put(object);
    } catch (const UnknownOutcomeError&) {
      needs_read_back = true;
    } catch (const UnavailableError&) {
      if (!needs_read_back) {
        throw;
      }
    } catch (const ConflictError&) {
      // The conflict may be with the earlier write of unknown outcome.
      if (!needs_read_back || attempt == max_read_backs) {
        throw;
      }
    }
  }
  throw UnknownOutcomeError(
      fmt::format("no confirmation that {}/{} was written; read it to find out "
                  "its current state",
                  object.key.kind, object.key.name));
}

}  // namespace poplarsail::objects
