#include "objects/object_store.h"

#include <fmt/format.h>

namespace poplarsail::objects {

namespace {

enum class ReadBack : uint8_t { kTookEffect, kDidNot, kOtherWriter };

// Compares what is stored with what was to be written.
ReadBack Compare(const std::optional<Object>& stored, const Object& wanted) {
  const uint64_t version = stored ? stored->resource_version : 0;
  if (version == wanted.resource_version) {
    return ReadBack::kDidNot;
  }
  const bool is_equal =
      stored && stored->spec == wanted.spec && stored->status == wanted.status;
  return is_equal ? ReadBack::kTookEffect : ReadBack::kOtherWriter;
}

std::optional<Object> GetOrNothing(ObjectStore* store, const ObjectKey& key) {
  try {
    return store->Get(key);
  } catch (const NotFoundError&) {
    return std::nullopt;
  }
}

}  // namespace

Object PutWithReadBack(ObjectStore* store, const Object& object, int max_reads) {
  bool needs_read_back = false;
  for (int attempt = 0; attempt <= max_reads; ++attempt) {
    try {
      if (needs_read_back) {
        const std::optional<Object> stored = GetOrNothing(store, object.key);
        switch (Compare(stored, object)) {
          case ReadBack::kTookEffect:
            return *stored;
          case ReadBack::kOtherWriter:
            throw ConflictError(
                fmt::format("{}/{} was changed by another writer; read it "
                            "again and repeat the change",
                            object.key.kind, object.key.name));
          case ReadBack::kDidNot:
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
      // After a write of unknown outcome, the conflict may be with that write.
      if (!needs_read_back || attempt == max_reads) {
        throw;
      }
    }
  }
  throw UnknownOutcomeError(
      fmt::format("it is not known whether {}/{} was written; read it to learn "
                  "its state",
                  object.key.kind, object.key.name));
}

}  // namespace poplarsail::objects
