#include "app/resource_file.h"

#include <fstream>

#include <nlohmann/json.hpp>

namespace poplarsail::app {

std::vector<model::Object> ReadResourceFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw model::ValidationError(path, "",
                                 "the file can't be read; check its path");
  }
  nlohmann::json json;
  try {
    json = nlohmann::json::parse(file);
  } catch (const nlohmann::json::parse_error& error) {
    throw model::ValidationError(path, "", error.what());
  }
  if (!json.is_array()) {
    json = nlohmann::json::array({json});
  }
  std::vector<model::Object> objects;
  for (const nlohmann::json& item : json) {
    model::Object object = model::ObjectFromJson(item, path);
    model::ValidateObject(object);
    objects.push_back(std::move(object));
  }
  return objects;
}

}  // namespace poplarsail::app
