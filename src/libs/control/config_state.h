#ifndef CONTROL_CONFIG_STATE_H_
#define CONTROL_CONFIG_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "model/model.h"
#include "objects/objects.h"
#include "steering/steering.h"

namespace poplarsail::control {

// Keys in the status of an EntryHost object: the period in which the host
// stores replicas of flow records, in Unix milliseconds.
inline constexpr char kReplicaFromKey[] = "keeperFrom";
inline constexpr char kReplicaUntilKey[] = "keeperUntil";

// Outcome of applying an object to the configuration.
enum class ApplyResult : uint8_t {
  kApplied,
  // Ignored, since the version is not newer than the known one.
  kStale,
  // Rejected; the last valid version stays in effect.
  kInvalid,
};

// The effective configuration of one daemon. Versions never decrease: no list,
// event or peer can replace an object by an older version.
class ConfigState {
 public:
  ApplyResult Apply(const objects::WatchEvent& event);

  // Replaces the configuration by a complete list of objects. Objects that are
  // not in the list are removed. A list older than version() is ignored as a
  // whole.
  ApplyResult ReplaceAll(const objects::ObjectList& list);

  // The newest version that was seen. Watches resume from it.
  uint64_t version() const { return m_version; }
  // Incremented by each change that was applied.
  uint64_t change_count() const { return m_change_count; }
  // The rejected objects, each with the reason.
  const std::map<model::ObjectKey, std::string>& rejected_objects() const {
    return m_rejected_objects;
  }

  const std::map<std::string, model::Service>& services() const {
    return m_services;
  }
  const std::map<std::string, model::Upstream>& upstreams() const {
    return m_upstreams;
  }
  const std::map<std::string, model::EntryHost>& entry_hosts() const {
    return m_entry_hosts;
  }
  const std::map<std::string, steering::ServicePlanPtr>& plans() const {
    return m_plans;
  }
  bool IsDomainEvacuated(const std::string& failure_domain) const;
  // Returns the stored object for conditional writes, or null if there is none.
  // The spec of a Plan object is empty; use plans() instead.
  const model::Object* FindObject(const model::ObjectKey& key) const;

  // Returns the desired state of a service, without upstreams of evacuated
  // failure domains.
  steering::DesiredService DesiredServiceFor(
      const model::Service& service) const;
  std::vector<dispatch::RequestUpstream> RequestUpstreamsFor(
      const std::string& service) const;
  // Returns the entry hosts, with `relay_port` as the port for relayed packets.
  // The status of a host gives the period in which it stores replicas of flow
  // records. A host without this status stores none.
  std::vector<steering::Member> Members(uint16_t relay_port) const;
  // Returns all failure domains that objects refer to, sorted.
  std::vector<std::string> FailureDomains() const;
  // Returns the names of the entry hosts whose phase is live.
  std::vector<std::string> LiveHosts() const;

 private:
  ApplyResult ApplyObject(const model::Object& object);
  void Remove(const model::ObjectKey& key);
  void StoreParsed(const model::Object& object);

  uint64_t m_version = 0;
  uint64_t m_change_count = 0;
  std::map<model::ObjectKey, model::Object> m_objects;
  std::map<model::ObjectKey, std::string> m_rejected_objects;
  std::map<std::string, model::Service> m_services;
  std::map<std::string, model::Upstream> m_upstreams;
  std::map<std::string, model::FailureDomain> m_domains;
  std::map<std::string, model::EntryHost> m_entry_hosts;
  std::map<std::string, steering::ServicePlanPtr> m_plans;
};

}  // namespace poplarsail::control

#endif  // CONTROL_CONFIG_STATE_H_
