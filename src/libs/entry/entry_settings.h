#ifndef ENTRY_ENTRY_SETTINGS_H_
#define ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/model.h"

namespace poplarsail::entry {

// The settings of one entry host that serves flows by tags.
struct EntrySettings {
  std::string host_name;
  std::string failure_domain;
  // Packets of callers arrive here and packets to upstreams leave from here.
  model::Endpoint packets;
  // Port at which callers take packets.
  uint16_t caller_port = 0;
  // Where the fabric asks whether this host wants packets.
  model::Endpoint readiness;
  // Where other entry hosts ask for what this one knows.
  model::Endpoint peers;
  // UDP port for findings about upstreams, on the address of `peers`.
  uint16_t findings_port = 0;
  // Addresses at which other entry hosts may be found at start.
  std::vector<model::Endpoint> seeds;
  model::Endpoint store;
  uint16_t metrics_port = 0;
  // How long packets are still forwarded after SIGTERM.
  std::chrono::milliseconds linger{0};

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

const std::vector<model::SettingKey>& EntrySettingKeys();

// Reads an INI file. Throws model::ValidationError with file, key and reason.
EntrySettings LoadEntrySettings(const std::string& path);
EntrySettings ParseEntrySettings(const std::string& text,
                                 const std::string& source);

}  // namespace poplarsail::entry

#endif  // ENTRY_ENTRY_SETTINGS_H_
