#include "standins/platform_objects.h"

#include <fmt/format.h>

namespace poplarsail::standins {

using nlohmann::json;

json ConfigurationSpec(int64_t version,
                       const std::vector<ListenerObject>& listeners,
                       const std::vector<std::string>& services) {
  json routes = json::array();
  for (const ListenerObject& listener : listeners) {
    const model::Endpoint endpoint = model::ToEndpoint(listener.endpoint);
    routes.push_back({{"name", fmt::format("r-{}", routes.size())},
                      {"host", endpoint.address.to_string()},
                      {"path_prefix", fmt::format("/{}/", endpoint.port)},
                      {"service", listener.service}});
  }
  json service_objects = json::array();
  for (const std::string& name : services) {
    service_objects.push_back(
        {{"name", name}, {"health_path", "/health"}, {"cold_per_s", 0.0}});
  }
  return {{"version", version},
          {"routes", routes},
          {"services", service_objects},
          {"limits", {{"idle_timeout_ms", 15'000}}}};
}

json RegistrationSpec(const std::string& service,
                      const model::Ipv4Endpoint& endpoint,
                      const std::string& failure_domain,
                      const std::string& state) {
  return {{"service", service},
          {"address", model::ToString(endpoint)},
          {"zone", failure_domain},
          {"version", "v1"},
          {"slots", 2},
          {"state", state},
          {"cold_left_ms", 0},
          {"seq", 1}};
}

std::vector<std::string> OddRegistrationTexts() {
  constexpr size_t kDepth = 300'000;
  const std::string fields = R"({"service":"tally","state":"ready","version":)";
  return {fields + "\"v\xff\"}",
          fields + R"("v\ud83d"})",
          fields + "1e400}",
          fields + std::string(kDepth, '[') + std::string(kDepth, ']') + "}",
          R"({"service":"tally","address":"10.0.0.1:70000","zone":"regina"})",
          fields + R"("v","cold_left_ms":1e308,"slots":18446744073709551615})",
          "null",
          "not quoted",
          fields + "\"v",
          fields + R"("v\)",
          fields + R"("v"}})",
          fields + R"("v"]})",
          fields + "[[",
          "{",
          "\""};
}

}  // namespace poplarsail::standins
