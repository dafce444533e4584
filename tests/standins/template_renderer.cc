#include "standins/template_renderer.h"

#include <sstream>
#include <stdexcept>

namespace poplarsail::standins {

namespace {

using nlohmann::json;

// Returns null if there is no value.
json Find(const json& fields, const std::string& name) {
  json value = fields;
  std::istringstream parts(name);
  for (std::string part; std::getline(parts, part, '.');) {
    if (value.is_array()) {
      const size_t index = std::stoul(part);
      value = index < value.size() ? json(value[index]) : json();
      continue;
    }
    const bool is_known = value.is_object() && value.contains(part);
    value = is_known ? json(value[part]) : json();
  }
  return value;
}

std::string ToText(const json& value) {
  if (value.is_null()) {
    return "";
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (!value.is_array()) {
    return value.dump();
  }
  std::string text;
  for (const json& item : value) {
    text += (text.empty() ? "" : ",") + ToText(item);
  }
  return text;
}

size_t RenderCount(const json& value) {
  if (value.is_object()) {
    throw std::invalid_argument("sections of tables are not supported");
  }
  if (value.is_array()) {
    return value.size();
  }
  return value.is_null() || value == false ? 0 : 1;
}

}  // namespace

std::string RenderTemplate(const std::string& text, const json& fields) {
  std::string result;
  size_t position = 0;
  while (true) {
    const size_t start = text.find("{{", position);
    result += text.substr(position, start - position);
    if (start == std::string::npos) {
      return result;
    }
    const size_t end = text.find("}}", start);
    const std::string name = text.substr(start + 2, end - start - 2);
    position = end + 2;
    if (name.find_first_of("|@,/") != std::string::npos || name == ".") {
      throw std::invalid_argument("{{" + name + "}} is not supported");
    }
    if (name.front() != '#' && name.front() != '^') {
      result += ToText(Find(fields, name));
      continue;
    }
    const std::string closing = "{{/" + name.substr(1) + "}}";
    const size_t section_end = text.find(closing, position);
    if (section_end == std::string::npos) {
      throw std::invalid_argument(closing + " is missing");
    }
    const std::string inner = text.substr(position, section_end - position);
    const size_t value_count = RenderCount(Find(fields, name.substr(1)));
    const size_t count = name.front() == '#' ? value_count : value_count == 0;
    for (size_t i = 0; i < count; ++i) {
      result += RenderTemplate(inner, fields);
    }
    position = section_end + closing.size();
  }
}

}  // namespace poplarsail::standins
