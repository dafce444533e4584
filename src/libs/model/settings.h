#ifndef MODEL_SETTINGS_H_
#define MODEL_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace poplarsail::model {

enum class SettingType : uint8_t {
  kString,
  kNumber,
  kDecimal,
  // Milliseconds; fractions of them are dropped.
  kDuration,
  // As kDuration. Values out of range are replaced by the nearest in range;
  // "0", "true" and "false" state no figure and select the default.
  kBound,
  kAddress,
  kEndpoint
};

// A key of the settings file. Settings files are validated against the table of
// these, and a test compares docs/settings.md with it.
struct SettingKey {
  std::string section;
  std::string name;
  SettingType type = SettingType::kString;
  // An empty default makes the key required.
  std::string default_value;
  int64_t min_value = 0;
  int64_t max_value = 0;
  std::string description;

  friend bool operator==(const SettingKey&, const SettingKey&) = default;
};

// Validated values by "section.name".
using SettingValues = std::map<std::string, std::string>;

// A value that is not used as it is written.
struct SettingWarning {
  std::string key;
  std::string value;
  // What is used instead.
  std::string used;

  friend bool operator==(const SettingWarning&,
                         const SettingWarning&) = default;
};

// Parses INI text and validates it against `keys`. A key that is absent or
// empty has its default. Throws ValidationError with `source`, the key and the
// reason. Appends to `warnings` unless it is null.
SettingValues ParseSettingValues(
    const std::string& text,
    const std::string& source,
    const std::vector<SettingKey>& keys,
    std::vector<SettingWarning>* warnings = nullptr);

// Return the value of a key that the table declares with this type; durations
// and bounds are numbers.
int64_t NumberSetting(const SettingValues& values, const std::string& name);
double DecimalSetting(const SettingValues& values, const std::string& name);
Endpoint EndpointSetting(const SettingValues& values, const std::string& name);

// Returns the contents of the file. Throws ValidationError if it can't be read.
std::string ReadSettingsFile(const std::string& path);

const std::vector<SettingKey>& SettingKeys();

// The settings of an entry host.
struct Settings {
  std::string host_name;
  std::string failure_domain;
  boost::asio::ip::address address;
  uint16_t packet_port = 0;
  uint16_t relay_port = 0;
  uint16_t upstream_packet_port = 0;
  uint32_t flow_capacity = 0;
  uint16_t membership_port = 0;
  uint16_t request_port = 0;
  uint16_t admin_port = 0;
  Endpoint object_api;
  int64_t announce_ms = 0;
  int64_t leave_ms = 0;
  int64_t stop_grace_ms = 0;
  int64_t stop_linger_ms = 0;

  friend bool operator==(const Settings&, const Settings&) = default;
};

// Loads an INI file. Throws ValidationError with the file, the key and the
// reason.
Settings LoadSettings(const std::string& path);

// Parses INI text. Throws ValidationError with `source`, the key and the
// reason.
Settings ParseSettings(const std::string& text, const std::string& source);

}  // namespace poplarsail::model

#endif  // MODEL_SETTINGS_H_
