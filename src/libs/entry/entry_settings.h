#ifndef ENTRY_ENTRY_SETTINGS_H_
#define ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "entry/watch_timing.h"
#include "model/model.h"

namespace poplarsail::entry {

// The settings of an entry host that forwards flows by their tags.
struct EntrySettings {
  std::string host_name;
  std::string failure_domain;
  // Processor capacity in thousandths of a core; 0 if unknown.
  uint32_t cpu_thousandths = 0;
  // Receives the packets of clients and sends packets to upstreams.
  model::Endpoint packets;
  // Port at which clients receive packets.
  uint16_t client_port = 0;
  // The fabric checks here whether this host is ready to receive packets.
  model::Endpoint readiness;
  // Other entry hosts query the cluster state here.
  model::Endpoint peers;
  // UDP port for failure reports (setting peers.findings_port), on the address
  // of `peers`.
  uint16_t failure_report_port = 0;
  // Addresses of other entry hosts that are queried at start.
  std::vector<model::Endpoint> seeds;
  model::Endpoint store;
  CurrencyBounds bounds;
  // Whether flows are scheduled together with the other entry hosts.
  bool is_scheduling_enabled = true;
  uint16_t metrics_port = 0;
  // Time for which packets are still forwarded after SIGTERM.
  std::chrono::milliseconds linger{0};

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

const std::vector<model::SettingKey>& EntrySettingKeys();

using SettingWarnings = std::vector<model::SettingWarning>;

// Load and parse settings in INI format. Throw model::ValidationError with
// file, key and reason. Append to `warnings` unless it is null.
EntrySettings LoadEntrySettings(const std::string& path,
                                SettingWarnings* warnings = nullptr);
EntrySettings ParseEntrySettings(const std::string& text,
                                 const std::string& source,
                                 SettingWarnings* warnings = nullptr);
void LogSettingWarnings(const SettingWarnings& warnings);

}  // namespace poplarsail::entry

#endif  // ENTRY_ENTRY_SETTINGS_H_
