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

// Keys of an entry host's status, Unix milliseconds.
inline constexpr char kReplicaFromKey[] = "keeperFrom";
inline constexpr char kReplicaUntilKey[] = "keeperUntil";

// What became of an object that was offered to the configuration.
enum class ApplyResult : uint8_t {
  kApplied,
  // The same version or an older one: ignored.
  kStale,
  // Refused; the last good version stays in force.
  kInvalid,
};

// The configuration in force on one daemon. Versions only go up: no list,
// event or peer can put an older object in force.
class ConfigState {
 public:
  ApplyResult Apply(const objects::WatchEvent& event);

  // Takes a full list. A list older than what is known is ignored as a whole;
  // objects that it lacks are deleted.
  ApplyResult ReplaceAll(const objects::ObjectList& list);

  // The newest version that was seen; watches resume from it.
  uint64_t version() const { return m_version; }
  // Raised by each change that was applied.
  uint64_t change_count() const { return m_change_count; }
  // Reasons of refused objects, by object.
  const std::map<model::ObjectKey, std::string>& refused() const {
    return m_refused;
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
  // The stored object, for conditional writes; null where there is none. The
  // spec of a Plan is left out, see plans().
  const model::Object* FindObject(const model::ObjectKey& key) const;

  // What the resources ask of a service's steering. Upstreams of domains that
  // are out are left out.
  steering::DesiredService GoalFor(const model::Service& service) const;
  std::vector<dispatch::RequestUpstream> RequestUpstreamsFor(
      const std::string& service) const;
  // The entry hosts, with `relay_port` for packets between them. Each says in
  // its status from when and until when it keeps flow records; one that says
  // nothing keeps none.
  std::vector<steering::Member> Members(uint16_t relay_port) const;
  // All failure domains that resources name, sorted.
  std::vector<std::string> FailureDomains() const;
  // Names of the entry hosts that the platform calls live.
  std::vector<std::string> LiveHosts() const;

 private:
  ApplyResult ApplyObject(const model::Object& object);
  void Remove(const model::ObjectKey& key);
  void Store(const model::Object& object);

  uint64_t m_version = 0;
  uint64_t m_change_count = 0;
  std::map<model::ObjectKey, model::Object> m_objects;
  std::map<model::ObjectKey, std::string> m_refused;
  std::map<std::string, model::Service> m_services;
  std::map<std::string, model::Upstream> m_upstreams;
  std::map<std::string, model::FailureDomain> m_domains;
  std::map<std::string, model::EntryHost> m_entry_hosts;
  std::map<std::string, steering::ServicePlanPtr> m_plans;
};

}  // namespace poplarsail::control

#endif  // CONTROL_CONFIG_STATE_H_
