#include "entry/entry_settings.h"

#include <cmath>
#include <sstream>

#include <fmt/format.h>

#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

std::string Trimmed(const std::string& text) {
  constexpr const char* kBlanks = " \t\r";
  const size_t start = text.find_first_not_of(kBlanks);
  if (start == std::string::npos) {
    return "";
  }
  return text.substr(start, text.find_last_not_of(kBlanks) - start + 1);
}

// A seed that is not an address is left out: the others are of use without it.
std::vector<model::Endpoint> ParseSeeds(const std::string& text,
                                        SettingWarnings* warnings) {
  std::vector<model::Endpoint> seeds;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const std::string seed = Trimmed(item);
    if (seed.empty()) {
      continue;
    }
    if (const auto endpoint = model::ParseEndpoint(seed)) {
      seeds.push_back(*endpoint);
    } else if (warnings != nullptr) {
      warnings->push_back({"peers.seeds", seed, "the other seeds"});
    }
  }
  return seeds;
}

bool ParseSchedulingMode(const std::string& text, const std::string& source) {
  if (text != "auto" && text != "off") {
    throw model::ValidationError(
        source, "scheduling.mode",
        fmt::format("\"{}\" is neither \"auto\" nor \"off\"", text));
  }
  return text == "auto";
}

}  // namespace

const std::vector<model::SettingKey>& EntrySettingKeys() {
  using Type = model::SettingType;
  static const std::vector<model::SettingKey> keys = {
      {"host", "name", Type::kString, "", 0, 0,
       "Name of this entry host, unique in the fleet."},
      {"host", "failure_domain", Type::kString, "", 0, 0,
       "Name of the failure domain that this host belongs to."},
      {"host", "cpu_share", Type::kDecimal, "0", 0, 1'024,
       "Number of processor cores that this host may use, such as 0.5; hosts "
       "with more of them schedule flows first. 0 if unknown."},
      {"packets", "endpoint", Type::kEndpoint, "", 0, 0,
       "UDP address and port for packets from clients."},
      {"readiness", "endpoint", Type::kEndpoint, "", 0, 0,
       "TCP address and port for the readiness checks of the fabric."},
      {"peers", "endpoint", Type::kEndpoint, "", 0, 0,
       "TCP address and port for other entry hosts."},
      {"peers", "findings_port", Type::kNumber, "8173", 1, 65'535,
       "UDP port for reports of upstream failures, on the address of "
       "peers.endpoint."},
      {"peers", "seeds", Type::kString, "none", 0, 0,
       "Addresses of other entry hosts to query at startup, separated by "
       "commas; \"none\" for no hosts."},
      {"store", "endpoint", Type::kEndpoint, "", 0, 0,
       "Address and port of the platform's store."},
      {"store", "detect_silence_ms", Type::kBound, "4000", 1'000, 3'600'000,
       "Milliseconds after which a connection to the store that went silent "
       "has to be replaced; the bounds below count from then."},
      {"store", "configuration_ms", Type::kBound, "3000", 1'000, 3'600'000,
       "Milliseconds within which an accepted configuration has to be in "
       "force."},
      {"store", "drain_ms", Type::kBound, "3000", 1'000, 3'600'000,
       "Milliseconds after which a draining upstream must get no new flows."},
      {"store", "evacuation_ms", Type::kBound, "5000", 1'000, 3'600'000,
       "Milliseconds after which an evacuated failure domain must get no new "
       "flows."},
      {"scheduling", "mode", Type::kString, "auto", 0, 0,
       "\"auto\" schedules flows together with the other entry hosts of the "
       "failure domain, for services whose terms are known; with \"off\" this "
       "host places its flows alone."},
      {"metrics", "port", Type::kNumber, "9100", 1, 65'535,
       "TCP port of /metrics, on the address of packets.endpoint."},
      {"stop", "linger_ms", Type::kDuration, "2500", 0, 3'600'000,
       "Milliseconds for which packets are still forwarded after SIGTERM; the "
       "fabric detects a stopping host within two of its checks, which it "
       "makes every half second."},
  };
  return keys;
}

EntrySettings ParseEntrySettings(const std::string& text,
                                 const std::string& source,
                                 SettingWarnings* warnings) {
  const model::SettingValues values =
      model::ParseSettingValues(text, source, EntrySettingKeys(), warnings);
  const auto endpoint = [&values](const char* name) {
    return model::EndpointSetting(values, name);
  };
  const auto number = [&values](const char* name) {
    return model::NumberSetting(values, name);
  };
  EntrySettings settings;
  settings.host_name = values.at("host.name");
  settings.failure_domain = values.at("host.failure_domain");
  settings.cpu_thousandths = static_cast<uint32_t>(
      std::lround(model::DecimalSetting(values, "host.cpu_share") * 1'000));
  settings.packets = endpoint("packets.endpoint");
  settings.client_port = settings.packets.port;
  settings.readiness = endpoint("readiness.endpoint");
  settings.peers = endpoint("peers.endpoint");
  settings.failure_report_port =
      static_cast<uint16_t>(number("peers.findings_port"));
  if (values.at("peers.seeds") != "none") {
    settings.seeds = ParseSeeds(values.at("peers.seeds"), warnings);
  }
  settings.store = endpoint("store.endpoint");
  settings.bounds = {milliseconds(number("store.detect_silence_ms")),
                     milliseconds(number("store.configuration_ms")),
                     milliseconds(number("store.drain_ms")),
                     milliseconds(number("store.evacuation_ms"))};
  settings.is_scheduling_enabled =
      ParseSchedulingMode(values.at("scheduling.mode"), source);
  settings.metrics_port = static_cast<uint16_t>(number("metrics.port"));
  settings.linger = std::chrono::milliseconds(number("stop.linger_ms"));
  return settings;
}

EntrySettings LoadEntrySettings(const std::string& path,
                                SettingWarnings* warnings) {
  return ParseEntrySettings(model::ReadSettingsFile(path), path, warnings);
}

void LogSettingWarnings(const SettingWarnings& warnings) {
  for (const model::SettingWarning& warning : warnings) {
    telemetry::Log(telemetry::LogLevel::kWarning, "daemon",
                   "setting not used as written",
                   {{"key", warning.key},
                    {"value", warning.value},
                    {"used", warning.used}});
  }
}

}  // namespace poplarsail::entry
