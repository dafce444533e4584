#ifndef MODEL_OBJECT_H_
#define MODEL_OBJECT_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace poplarsail::model {

// Identifies an object of the platform's object API.
struct ObjectKey {
  std::string kind;
  std::string name;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
};

// An object as stored by the platform's object API.
struct Object {
  ObjectKey key;
  // Taken from a counter that the store increments with each write of any
  // object; 0 means that the object was never stored.
  uint64_t resource_version = 0;
  // Incremented by the store when `spec` changes.
  uint64_t generation = 0;
  nlohmann::json spec;
  nlohmann::json status;

  friend bool operator==(const Object&, const Object&) = default;
};

// Parses the JSON form: {"kind", "metadata": {"name", "resourceVersion",
// "generation"}, "spec", "status"}. Throws ValidationError with `source`, the
// file or peer that the JSON came from, in its message.
Object ObjectFromJson(const nlohmann::json& json, const std::string& source);

nlohmann::json ToJson(const Object& object);

}  // namespace poplarsail::model

#endif  // MODEL_OBJECT_H_
