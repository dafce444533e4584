#include "model/object.h"

#include <algorithm>
#include <cctype>

#include "model/errors.h"

namespace poplarsail::model {

namespace {

constexpr size_t kMaxNameLength = 63;

bool IsValidName(const std::string& name) {
  const bool length_fits = !name.empty() && name.size() <= kMaxNameLength;
  return length_fits && std::all_of(name.begin(), name.end(), [](char c) {
           return std::islower(static_cast<unsigned char>(c)) ||
                  std::isdigit(static_cast<unsigned char>(c)) || c == '-' ||
                  c == '.';
         });
}

uint64_t ReadMetadataNumber(const nlohmann::json& metadata,
                            const char* key,
                            const std::string& source) {
  if (!metadata.contains(key)) {
    return 0;
  }
  if (!metadata[key].is_number_unsigned()) {
    throw ValidationError(source, std::string("metadata.") + key,
                          "must be a non-negative integer");
  }
  return metadata[key].get<uint64_t>();
}

}  // namespace

Object ObjectFromJson(const nlohmann::json& json, const std::string& source) {
  if (!json.is_object()) {
    throw ValidationError(source, "", "the object must be a JSON object");
  }
  if (!json.contains("kind") || !json["kind"].is_string()) {
    throw ValidationError(source, "kind", "must be a string");
  }
  if (!json.contains("metadata") || !json["metadata"].is_object()) {
    throw ValidationError(source, "metadata", "must be a JSON object");
  }
  const nlohmann::json& metadata = json["metadata"];
  if (!metadata.contains("name") || !metadata["name"].is_string()) {
    throw ValidationError(source, "metadata.name", "must be a string");
  }
  Object object;
  object.key.kind = json["kind"].get<std::string>();
  object.key.name = metadata["name"].get<std::string>();
  if (!IsValidName(object.key.name)) {
    throw ValidationError(
        source, "metadata.name",
        "must be 1 to 63 lower-case letters, digits, dots and hyphens");
  }
  object.resource_version =
      ReadMetadataNumber(metadata, "resourceVersion", source);
  object.generation = ReadMetadataNumber(metadata, "generation", source);
  object.spec = json.value("spec", nlohmann::json::object());
  object.status = json.value("status", nlohmann::json::object());
  return object;
}

nlohmann::json ToJson(const Object& object) {
  return {{"kind", object.key.kind},
          {"metadata",
           {{"name", object.key.name},
            {"resourceVersion", object.resource_version},
            {"generation", object.generation}}},
          {"spec", object.spec},
          {"status", object.status}};
}

}  // namespace poplarsail::model
