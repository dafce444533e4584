#ifndef ENTRY_SNAPSHOT_ASSEMBLER_H_
#define ENTRY_SNAPSHOT_ASSEMBLER_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/scheduling.h"

namespace poplarsail::entry {

// Joins the parts of snapshots.
class SnapshotAssembler {
 public:
  // Returns all flows of the host once the last part has arrived.
  std::optional<std::vector<scheduling::OpenFlow>> Add(
      const model::Ipv4Endpoint& host,
      const std::string& service,
      const scheduling::SnapshotMessage& message,
      scheduling::SteadyTime now);

 private:
  struct Partial {
    std::map<uint32_t, std::vector<scheduling::OpenFlow>> parts;
    uint32_t part_count = 0;
    scheduling::SteadyTime expiry;
  };

  std::map<std::pair<model::Ipv4Endpoint, std::string>, Partial> m_partials;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_SNAPSHOT_ASSEMBLER_H_
