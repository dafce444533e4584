#include "model/resources.h"

#include <limits>
#include <map>
#include <set>

#include <fmt/format.h>

#include "model/errors.h"

namespace poplarsail::model {

namespace {

// Reads the keys of one object's `spec` and refuses unknown ones.
class SpecReader {
 public:
  explicit SpecReader(const Object& object)
      : m_spec(object.spec),
        m_source(fmt::format("{}/{}", object.key.kind, object.key.name)) {
    if (!m_spec.is_object()) {
      Fail("spec", "must be a JSON object");
    }
  }

  std::string Text(const std::string& key) {
    m_known.insert(key);
    if (!m_spec.contains(key) || !m_spec[key].is_string() ||
        m_spec[key].get<std::string>().empty()) {
      Fail(key, "must be a text that is not empty");
    }
    return m_spec[key].get<std::string>();
  }

  template <typename Value>
  Value Choice(const std::string& key,
               const std::map<std::string, Value>& choices,
               Value default_value) {
    m_known.insert(key);
    if (!m_spec.contains(key)) {
      return default_value;
    }
    const std::string text = Text(key);
    const auto found = choices.find(text);
    if (found == choices.end()) {
      std::string allowed;
      for (const auto& [name, value] : choices) {
        allowed += (allowed.empty() ? "" : ", ") + name;
      }
      Fail(key, fmt::format("\"{}\" is not one of: {}", text, allowed));
    }
    return found->second;
  }

  uint32_t Count(const std::string& key,
                 uint32_t default_value,
                 uint32_t least,
                 uint32_t most) {
    m_known.insert(key);
    if (!m_spec.contains(key)) {
      return default_value;
    }
    const nlohmann::json& value = m_spec[key];
    if (!value.is_number_unsigned() || value.get<uint64_t>() < least ||
        value.get<uint64_t>() > most) {
      Fail(key,
           fmt::format("must be a whole number from {} to {}", least, most));
    }
    return value.get<uint32_t>();
  }

  double Share(const std::string& key, double default_value) {
    m_known.insert(key);
    if (!m_spec.contains(key)) {
      return default_value;
    }
    const nlohmann::json& value = m_spec[key];
    if (!value.is_number() || value.get<double>() <= 0 ||
        value.get<double>() >= 1) {
      Fail(key, "must be a number above 0 and below 1");
    }
    return value.get<double>();
  }

  Endpoint EndpointAt(const std::string& key) {
    const std::string text = Text(key);
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      Fail(key, fmt::format("\"{}\" is not an IP address with a port, such as "
                            "192.0.2.1:443",
                            text));
    }
    return *endpoint;
  }

  boost::asio::ip::address AddressAt(const std::string& key) {
    const std::string text = Text(key);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text, error);
    if (error) {
      Fail(key, fmt::format("\"{}\" is not an IP address", text));
    }
    return address;
  }

  // Call this last: it refuses each key that was never asked for.
  void RefuseUnknownKeys() {
    for (const auto& item : m_spec.items()) {
      if (!m_known.contains(item.key())) {
        Fail(item.key(), "is not a known key; remove it or correct its name");
      }
    }
  }

 private:
  [[noreturn]] void Fail(const std::string& key, const std::string& reason) {
    throw ValidationError(m_source, key, reason);
  }

  const nlohmann::json& m_spec;
  std::string m_source;
  std::set<std::string> m_known;
};

constexpr uint32_t kMaxSlots = 100'000;
constexpr uint32_t kMaxConnections = 10'000'000;
constexpr uint32_t kMaxLatencyObjectiveMs = 600'000;

}  // namespace

Service ServiceFromObject(const Object& object) {
  SpecReader reader(object);
  Service service;
  service.name = object.key.name;
  service.address = reader.EndpointAt("address");
  service.protocol = reader.Choice<Protocol>(
      "protocol", {{"tcp", Protocol::kTcp}, {"udp", Protocol::kUdp}},
      Protocol::kTcp);
  service.mode =
      reader.Choice<ServiceMode>("mode",
                                 {{"packets", ServiceMode::kPackets},
                                  {"requests", ServiceMode::kRequests}},
                                 ServiceMode::kPackets);
  service.availability_objective =
      reader.Share("availabilityObjective", service.availability_objective);
  service.latency_objective_ms =
      reader.Count("latencyObjectiveMs", service.latency_objective_ms, 1,
                   kMaxLatencyObjectiveMs);
  reader.RefuseUnknownKeys();
  return service;
}

Upstream UpstreamFromObject(const Object& object) {
  SpecReader reader(object);
  Upstream upstream;
  upstream.name = object.key.name;
  upstream.service = reader.Text("service");
  upstream.address = reader.EndpointAt("address");
  upstream.failure_domain = reader.Text("failureDomain");
  upstream.slots = reader.Count("slots", upstream.slots, 1, kMaxSlots);
  upstream.connections =
      reader.Count("connections", upstream.connections, 1, kMaxConnections);
  upstream.state =
      reader.Choice<UpstreamState>("state",
                                   {{"serving", UpstreamState::kServing},
                                    {"draining", UpstreamState::kDraining}},
                                   UpstreamState::kServing);
  reader.RefuseUnknownKeys();
  return upstream;
}

FailureDomain FailureDomainFromObject(const Object& object) {
  SpecReader reader(object);
  FailureDomain domain;
  domain.name = object.key.name;
  domain.state = reader.Choice<DomainState>(
      "state", {{"in", DomainState::kInService}, {"out", DomainState::kEvacuated}},
      DomainState::kInService);
  reader.RefuseUnknownKeys();
  return domain;
}

EntryHost EntryHostFromObject(const Object& object) {
  SpecReader reader(object);
  EntryHost host;
  host.name = object.key.name;
  host.address = reader.AddressAt("address");
  host.failure_domain = reader.Text("failureDomain");
  host.phase = reader.Choice<HostPhase>(
      "phase", {{"live", HostPhase::kLive}, {"leaving", HostPhase::kLeaving}},
      HostPhase::kLive);
  reader.RefuseUnknownKeys();
  return host;
}

void ValidateObject(const Object& object) {
  if (object.key.kind == kServiceKind) {
    ServiceFromObject(object);
  } else if (object.key.kind == kUpstreamKind) {
    UpstreamFromObject(object);
  } else if (object.key.kind == kFailureDomainKind) {
    FailureDomainFromObject(object);
  } else if (object.key.kind == kEntryHostKind) {
    EntryHostFromObject(object);
  } else {
    throw ValidationError(object.key.name, "kind",
                          fmt::format("\"{}\" is not one of: Service, "
                                      "Upstream, FailureDomain, EntryHost",
                                      object.key.kind));
  }
}

}  // namespace poplarsail::model
