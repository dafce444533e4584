#include "model/settings.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

#include <fmt/format.h>

#include "model/errors.h"

namespace poplarsail::model {

namespace {

constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kMaxFlowCapacity = 100'000'000;
constexpr int64_t kMaxDurationMs = 3'600'000;

std::string FullName(const SettingKey& key) {
  return key.section + "." + key.name;
}

int64_t CheckNumber(const SettingKey& key,
                    const std::string& text,
                    const std::string& source) {
  int64_t number = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc() || end != text_end || number < key.min_value ||
      number > key.max_value) {
    throw ValidationError(source, FullName(key),
                          fmt::format("\"{}\" is not an integer from {} to {}",
                                      text, key.min_value, key.max_value));
  }
  return number;
}

// Returns nullopt if the text is not a finite number.
std::optional<double> ParseDecimal(const std::string& text) {
  const char* text_end = text.data() + text.size();
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc() || end != text_end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

double CheckDecimal(const SettingKey& key,
                    const std::string& text,
                    const std::string& source) {
  const auto min_value = static_cast<double>(key.min_value);
  const auto max_value = static_cast<double>(key.max_value);
  const std::optional<double> number = ParseDecimal(text);
  if (!number || *number < min_value || *number > max_value) {
    throw ValidationError(
        source, FullName(key),
        fmt::format("\"{}\" is not a decimal number from {} to {}", text,
                    key.min_value, key.max_value));
  }
  return *number;
}

std::string CheckDuration(const SettingKey& key,
                          const std::string& text,
                          const std::string& source) {
  return std::to_string(static_cast<int64_t>(CheckDecimal(key, text, source)));
}

std::string CheckBound(const SettingKey& key,
                       const std::string& text,
                       const std::string& source) {
  if (text == "true" || text == "false") {
    return key.default_value;
  }
  const std::optional<double> number = ParseDecimal(text);
  if (!number || *number < 0) {
    throw ValidationError(
        source, FullName(key),
        fmt::format("\"{}\" is not a number of milliseconds", text));
  }
  if (*number == 0) {
    return key.default_value;
  }
  const double in_range =
      std::clamp(*number, static_cast<double>(key.min_value),
                 static_cast<double>(key.max_value));
  return std::to_string(static_cast<int64_t>(in_range));
}

// Returns the value to use.
std::string CheckValue(const SettingKey& key,
                       const std::string& text,
                       const std::string& source) {
  switch (key.type) {
    case SettingType::kString:
      return text;
    case SettingType::kNumber:
      CheckNumber(key, text, source);
      return text;
    case SettingType::kDecimal:
      CheckDecimal(key, text, source);
      return text;
    case SettingType::kDuration:
      return CheckDuration(key, text, source);
    case SettingType::kBound:
      return CheckBound(key, text, source);
    case SettingType::kAddress: {
      boost::system::error_code error;
      boost::asio::ip::make_address(text, error);
      if (error) {
        throw ValidationError(source, FullName(key),
                              fmt::format("\"{}\" is not an IP address", text));
      }
      return text;
    }
    case SettingType::kEndpoint:
      if (!ParseEndpoint(text)) {
        throw ValidationError(
            source, FullName(key),
            fmt::format("\"{}\" is not an IP address with a port", text));
      }
      return text;
  }
  return text;
}

// Whether a bound is used as a figure other than the one that is written.
bool IsReplaced(const SettingKey& key,
                const std::string& text,
                const std::string& used) {
  if (key.type != SettingType::kBound) {
    return false;
  }
  const std::optional<double> number = ParseDecimal(text);
  return !number || std::floor(*number) != ParseDecimal(used);
}

// Returns the value of each key in `keys`. Throws ValidationError for unknown,
// missing and invalid ones.
SettingValues ReadValues(const boost::property_tree::ptree& tree,
                         const std::string& source,
                         const std::vector<SettingKey>& keys,
                         std::vector<SettingWarning>* warnings) {
  SettingValues values;
  for (const SettingKey& key : keys) {
    values[FullName(key)] = key.default_value;
  }
  for (const auto& [section, entries] : tree) {
    if (entries.empty()) {
      throw ValidationError(source, section,
                            "is outside any known section, or is an empty "
                            "section; move the key below a [section] line");
    }
    for (const auto& [name, value] : entries) {
      const std::string full_name = section + "." + name;
      const auto known = values.find(full_name);
      if (known == values.end()) {
        throw ValidationError(source, full_name,
                              "is not a known key; see docs/settings.md for "
                              "the list of keys");
      }
      if (!value.data().empty()) {
        known->second = value.data();
      }
    }
  }
  for (const SettingKey& key : keys) {
    std::string& text = values[FullName(key)];
    if (text.empty()) {
      throw ValidationError(source, FullName(key), "is required; add it");
    }
    const std::string used = CheckValue(key, text, source);
    if (warnings != nullptr && IsReplaced(key, text, used)) {
      warnings->push_back({FullName(key), text, used});
    }
    text = used;
  }
  return values;
}

}  // namespace

const std::vector<SettingKey>& SettingKeys() {
  using Type = SettingType;
  static const std::vector<SettingKey> keys = {
      {"host", "name", Type::kString, "", 0, 0,
       "Name of this entry host, unique in the fleet."},
      {"host", "failure_domain", Type::kString, "", 0, 0,
       "Name of the failure domain that this host belongs to."},
      {"host", "address", Type::kAddress, "", 0, 0,
       "IP address that all of this host's ports are bound to."},
      {"packets", "port", Type::kNumber, "6080", 1, kMaxPort,
       "UDP port for IP packets from the fabric."},
      {"packets", "relay_port", Type::kNumber, "6081", 1, kMaxPort,
       "UDP port for packets that entry hosts relay to each other; the same on "
       "all hosts."},
      {"packets", "upstream_port", Type::kNumber, "6080", 1, kMaxPort,
       "UDP port at which upstream hosts receive IP packets."},
      {"packets", "flow_capacity", Type::kNumber, "1000000", 1024,
       kMaxFlowCapacity, "Number of flow records that this host can hold."},
      {"membership", "port", Type::kNumber, "6082", 1, kMaxPort,
       "UDP port for failure detection between entry hosts; the same on all "
       "hosts."},
      {"requests", "port", Type::kNumber, "8080", 1, kMaxPort,
       "TCP port for HTTP/2 requests."},
      {"admin", "port", Type::kNumber, "9100", 1, kMaxPort,
       "TCP port for /metrics, /healthz, /readyz and /explain."},
      {"objects", "endpoint", Type::kEndpoint, "", 0, 0,
       "Address and port of the platform's object API."},
      {"control", "announce_ms", Type::kNumber, "2500", 100, kMaxDurationMs,
       "Milliseconds between the announcement of a steering plan and its "
       "use for new flows."},
      {"control", "leave_ms", Type::kNumber, "1000", 100, kMaxDurationMs,
       "Milliseconds between the announcement that an upstream is removed or "
       "evacuated and the last packet sent to it."},
      {"stop", "grace_ms", Type::kNumber, "10000", 0, kMaxDurationMs,
       "Milliseconds that running requests have to complete after SIGTERM."},
      {"stop", "linger_ms", Type::kNumber, "6000", 0, kMaxDurationMs,
       "Milliseconds for which packets are still forwarded after SIGTERM, "
       "because the fabric detects with a delay that the host is stopping."},
  };
  return keys;
}

SettingValues ParseSettingValues(const std::string& text,
                                 const std::string& source,
                                 const std::vector<SettingKey>& keys,
                                 std::vector<SettingWarning>* warnings) {
  boost::property_tree::ptree tree;
  std::istringstream stream(text);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    throw ValidationError(source, fmt::format("line {}", error.line()),
                          error.message());
  }
  return ReadValues(tree, source, keys, warnings);
}

int64_t NumberSetting(const SettingValues& values, const std::string& name) {
  return std::stoll(values.at(name));
}

double DecimalSetting(const SettingValues& values, const std::string& name) {
  return ParseDecimal(values.at(name)).value();
}

Endpoint EndpointSetting(const SettingValues& values, const std::string& name) {
  return *ParseEndpoint(values.at(name));
}

std::string ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw ValidationError(path, "", "the file can't be read; check its path");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Settings ParseSettings(const std::string& text, const std::string& source) {
  const SettingValues values = ParseSettingValues(text, source, SettingKeys());
  const auto number = [&values](const char* name) {
    return NumberSetting(values, name);
  };
  Settings settings;
  settings.host_name = values.at("host.name");
  settings.failure_domain = values.at("host.failure_domain");
  settings.address = boost::asio::ip::make_address(values.at("host.address"));
  settings.packet_port = number("packets.port");
  settings.relay_port = number("packets.relay_port");
  settings.upstream_packet_port = number("packets.upstream_port");
  settings.flow_capacity = number("packets.flow_capacity");
  settings.membership_port = number("membership.port");
  settings.request_port = number("requests.port");
  settings.admin_port = number("admin.port");
  settings.object_api = EndpointSetting(values, "objects.endpoint");
  settings.announce_ms = number("control.announce_ms");
  settings.leave_ms = number("control.leave_ms");
  settings.stop_grace_ms = number("stop.grace_ms");
  settings.stop_linger_ms = number("stop.linger_ms");
  return settings;
}

Settings LoadSettings(const std::string& path) {
  return ParseSettings(ReadSettingsFile(path), path);
}

}  // namespace poplarsail::model
