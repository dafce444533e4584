#ifndef MODEL_SETTINGS_H_
#define MODEL_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace poplarsail::model {

enum class SettingType : uint8_t { kString, kNumber, kAddress, kEndpoint };

// One key of the settings file: the table of these is what the code checks
// with and what docs/settings.md is tested against.
struct SettingKey {
  std::string section;
  std::string name;
  SettingType type = SettingType::kString;
  // Empty means that the key is required.
  std::string default_value;
  int64_t least = 0;
  int64_t most = 0;
  std::string description;

  friend bool operator==(const SettingKey&, const SettingKey&) = default;
};

// Values by "section.name", checked against a table of keys.
using SettingValues = std::map<std::string, std::string>;

// Reads INI text; `source` names it in errors. Throws ValidationError with
// source, key and reason.
SettingValues ParseSettingValues(const std::string& text,
                                 const std::string& source,
                                 const std::vector<SettingKey>& keys);

// The values of keys whose types the table states.
int64_t NumberSetting(const SettingValues& values, const std::string& name);
Endpoint EndpointSetting(const SettingValues& values, const std::string& name);

// Returns the text of the file. Throws ValidationError.
std::string ReadSettingsFile(const std::string& path);

const std::vector<SettingKey>& SettingKeys();

// The settings of one entry host.
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

// Reads an INI file. Throws ValidationError with file, key and reason.
Settings LoadSettings(const std::string& path);

// Reads INI text; `source` names it in errors.
Settings ParseSettings(const std::string& text, const std::string& source);

}  // namespace poplarsail::model

#endif  // MODEL_SETTINGS_H_
