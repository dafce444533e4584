#ifndef ENTRY_PEER_EXCHANGE_H_
#define ENTRY_PEER_EXCHANGE_H_

#include <utility>
// Boost 1.74's awaitable.hpp needs <utility> before it.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "entry/belief_codec.h"
#include "entry/http_responder.h"
#include "entry/send_budget.h"
#include "model/model.h"

namespace poplarsail::entry {

// Pause between questions while this host lacks something: no whole belief yet,
// or its store is away.
inline constexpr std::chrono::milliseconds kUrgentAskInterval{250};
inline constexpr std::chrono::milliseconds kDoubtAskInterval{1'000};
// Pause otherwise. Asking tells a seed where a host with a belief is, in case
// the seed starts again while the store is away.
inline constexpr std::chrono::milliseconds kIdleAskInterval{5'000};
// In large fleets the pause grows by this much a host, so that each of three
// seeds answers 17 questions a second at the most.
inline constexpr std::chrono::milliseconds kIdleAskIntervalPerHost{20};
// A question that is not answered by then is given up.
inline constexpr std::chrono::milliseconds kAskTimeout{400};
// A host without a belief takes a peer's only after this time, unless its store
// is away: the store's answer to the first list is some 20 ms away.
inline constexpr std::chrono::milliseconds kStorePatience{100};
// Whole beliefs that a host sends, in bytes a second, and at once: half of what
// a link of 10 Mbit/s bears, since packets of flows take the same link.
inline constexpr double kWholeBytesPerSecond = 600'000;
// An encoded belief is sent again for this long; what is left of cold starts is
// overstated by as much.
inline constexpr std::chrono::milliseconds kWholeMessageAge{1'000};
// Hosts that asked count as members for this many pauses.
inline constexpr int kAskerPauses = 6;
// Hosts that asked are remembered up to this number.
inline constexpr size_t kMaxAskers = 4'096;
// Of the hosts that asked, this many are asked at once at start.
inline constexpr size_t kMaxAskedAtOnce = 8;
// Neighbours that a host tells its findings to.
inline constexpr size_t kMaxNeighbours = 64;
// Hosts of each other failure domain that it tells them to: one may be down.
inline constexpr size_t kContactsPerDomain = 2;

struct PeerCounts {
  uint64_t asked = 0;
  uint64_t wholes_sent = 0;
  uint64_t wholes_refused = 0;
  uint64_t answered_newer = 0;
  uint64_t failed = 0;

  friend bool operator==(const PeerCounts&, const PeerCounts&) = default;
};

// Learns from other entry hosts what the store does not tell, and tells them.
// Beliefs merge by revision, so any host may be asked, however old its belief.
class PeerExchange {
 public:
  struct Options {
    model::Endpoint own_endpoint;
    std::string failure_domain;
    // Where this host takes findings of its neighbours.
    model::Endpoint findings;
    std::vector<model::Endpoint> seeds;
    // Whether the store is away for this host.
    std::function<bool()> is_store_lost;
    // Called when a peer's belief changed the own one.
    std::function<void()> changed;
    // Called with what a peer knows of the fleet.
    std::function<void(const FleetView&)> fleet_seen;
  };

  PeerExchange(boost::asio::io_context* context,
               cluster_state::ClusterState* cluster_state,
               Options options);

  void Start();
  void set_seeds(std::vector<model::Endpoint> seeds);
  const PeerCounts& counts() const { return m_counts; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Ask(model::Endpoint peer);
  // Asks for all that the peer knows; one such question at a time.
  boost::asio::awaitable<void> AskForWhole(model::Endpoint peer);
  // Returns the answer's body; nothing where it can't be had.
  boost::asio::awaitable<std::optional<std::string>> Get(model::Endpoint peer,
                                                         std::string target);
  std::string QueryFor(bool is_brief) const;
  struct Asker {
    model::Endpoint endpoint;
    model::Ipv4Endpoint findings;
    std::string failure_domain;
    cluster_state::SteadyTime last_asked;
  };

  HttpAnswer Tell(const HttpQuery& query);
  void RememberAsker(const HttpQuery& query);
  FleetView ViewFor(const std::string& failure_domain) const;
  const std::string& WholeMessage(cluster_state::SteadyTime now);
  std::optional<FleetView> Merge(const model::Endpoint& peer,
                                 const std::string& message);
  // The next peer to ask: seeds and hosts that asked, in turn.
  model::Endpoint NextPeer();
  std::chrono::milliseconds Interval() const;

  boost::asio::io_context* m_context;
  cluster_state::ClusterState* m_belief;
  Options m_options;
  HttpResponder m_responder;
  boost::asio::steady_timer m_timer;
  std::deque<Asker> m_askers;
  uint32_t m_host_count = 0;
  size_t m_next_peer = 0;
  cluster_state::SteadyTime m_patience_deadline;
  bool m_is_asking_for_whole = false;
  SendBudget m_whole_budget{kWholeBytesPerSecond};
  // The last whole belief that was sent, and what it was made of.
  std::string m_whole_message;
  ListedRevisions m_whole_revisions{};
  uint64_t m_whole_generation = 0;
  cluster_state::SteadyTime m_whole_expiry;
  std::minstd_rand m_random;
  PeerCounts m_counts;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PEER_EXCHANGE_H_
