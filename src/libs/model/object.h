#ifndef MODEL_OBJECT_H_
#define MODEL_OBJECT_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace poplarsail::model {

// Names one object of the platform's object API.
struct ObjectKey {
  std::string kind;
  std::string name;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
};

// One object of the platform's object API, as stored.
struct Object {
  ObjectKey key;
  // The store raises this number with each write of any object; 0 means that
  // the object was never stored.
  uint64_t resource_version = 0;
  // The store raises this number when `spec` changes.
  uint64_t generation = 0;
  nlohmann::json spec;
  nlohmann::json status;

  friend bool operator==(const Object&, const Object&) = default;
};

// Reads the wire form: {"kind", "metadata": {"name", "resourceVersion",
// "generation"}, "spec", "status"}. Throws ValidationError; `source` names the
// file or peer in its text.
Object ObjectFromJson(const nlohmann::json& json, const std::string& source);

nlohmann::json ToJson(const Object& object);

}  // namespace poplarsail::model

#endif  // MODEL_OBJECT_H_
