#ifndef TESTS_STANDINS_TEMPLATE_RENDERER_H_
#define TESTS_STANDINS_TEMPLATE_RENDERER_H_

#include <string>

#include <nlohmann/json.hpp>

namespace poplarsail::standins {

// Fills in a template as the platform does: {{a.b}}, {{a.0}}, {{#a}}..{{/a}}
// and
// {{^a}}..{{/a}}, the placeholders that the project's template uses. Throws
// std::invalid_argument for others.
std::string RenderTemplate(const std::string& text,
                           const nlohmann::json& fields);

}  // namespace poplarsail::standins

#endif  // TESTS_STANDINS_TEMPLATE_RENDERER_H_
