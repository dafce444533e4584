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
#include "entry/cluster_state_codec.h"
#include "entry/http_server.h"
#include "entry/send_rate_limiter.h"
#include "model/model.h"

namespace poplarsail::entry {

// Intervals between queries while the cluster state of this host is incomplete
// and while its store is unreachable.
inline constexpr std::chrono::milliseconds kIncompleteQueryInterval{250};
inline constexpr std::chrono::milliseconds kStoreLostQueryInterval{1'000};
// Interval otherwise. The queries tell a seed the addresses of hosts that have
// the cluster state, in case it restarts while the store is unreachable.
inline constexpr std::chrono::milliseconds kIdleQueryInterval{5'000};
// In large fleets the interval is this long per host, so that each of three
// seeds responds to at most 17 queries per second.
inline constexpr std::chrono::milliseconds kIdleQueryIntervalPerHost{20};
// For this long after its start a host queries at kStoreLostQueryInterval, in
// large fleets at kIdleQueryIntervalPerHost: a store that was restored from a
// copy may have listed an older configuration than the one in force.
inline constexpr std::chrono::milliseconds kStartupPeriod{5'000};
// Queries without progress for this long are abandoned.
inline constexpr std::chrono::milliseconds kQueryTimeout{400};
// A host without a cluster state requests a peer's only after this time, unless
// its store is unreachable: the store returns the first list within some 20 ms.
inline constexpr std::chrono::milliseconds kStoreHeadStart{100};
// Limit for full states sent, per second and as a burst: half the capacity of a
// 10 Mbit/s link, since the packets of flows share the link.
inline constexpr double kFullStateBytesPerSecond = 600'000;
// An encoded full state is reused for this long; the remaining cold start times
// in it are overstated by up to as much.
inline constexpr std::chrono::milliseconds kFullStateCacheTime{1'000};
// Hosts count as members of the fleet for this many query intervals after their
// last query.
inline constexpr int kKnownPeerExpiryIntervals = 6;
// All hosts of a large fleet may query a seed at once.
inline constexpr size_t kMaxPeerConnections = 512;
// Maximum number of known peers, the hosts that queried this one.
inline constexpr size_t kMaxKnownPeers = 4'096;
// Maximum number of local peers in a fleet view; failure reports are sent to
// all of them.
inline constexpr size_t kMaxLocalPeers = 64;
// Number of remote peers in a fleet view for each other failure domain; more
// than one since one may be down.
inline constexpr size_t kRemotePeersPerDomain = 2;

struct PeerCounts {
  uint64_t queries = 0;
  uint64_t full_states_sent = 0;
  uint64_t full_states_refused = 0;
  uint64_t newer_responses = 0;
  uint64_t failed = 0;

  friend bool operator==(const PeerCounts&, const PeerCounts&) = default;
};

// Exchanges the cluster state with other entry hosts, which may know changes
// that this host did not get from the store. States are merged by revision, so
// any host may be queried, however old its state is.
class PeerExchange {
 public:
  struct Options {
    model::Endpoint own_endpoint;
    std::string failure_domain;
    // Receives the failure reports of other hosts.
    model::Endpoint report_endpoint;
    // Processor capacity of this host; 0 if unknown.
    uint32_t cpu_thousandths = 0;
    std::vector<model::Endpoint> seeds;
    // Returns whether this host can't reach the store.
    std::function<bool()> is_store_unreachable;
    // Called when a peer's message changed the cluster state.
    std::function<void()> on_change;
    // Called with the fleet view of each peer that responds with one.
    std::function<void(const FleetView&)> on_fleet_view;
  };

  PeerExchange(boost::asio::io_context* context,
               cluster_state::ClusterState* cluster_state,
               Options options);

  void Start();
  void set_seeds(std::vector<model::Endpoint> seeds);
  const PeerCounts& counts() const { return m_counts; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> QueryPeer(model::Endpoint peer);
  // Requests the full state if a kind is still missing after the store's head
  // start.
  boost::asio::awaitable<void> FetchFullState(model::Endpoint peer);
  // Requests what the peer knows and this host does not, unless such a request
  // is in flight already.
  boost::asio::awaitable<void> FetchChanges(model::Endpoint peer);
  // Queries the peer back if it has a newer configuration in force.
  void QueryIfNewer(const model::Endpoint& peer, const KnownVersions& known);
  // Whether `known` has a newer configuration in force than this host.
  bool IsConfigurationNewer(const KnownVersions& known) const;
  // Returns the body of the response, or nullopt if the query failed.
  boost::asio::awaitable<std::optional<std::string>> Get(model::Endpoint peer,
                                                         std::string target);
  std::string MakeQueryTarget(bool is_brief) const;
  struct KnownPeer {
    model::Endpoint endpoint;
    model::Ipv4Endpoint report_endpoint;
    std::string failure_domain;
    cluster_state::SteadyTime last_query;
    uint32_t cpu_thousandths = 0;
  };

  HttpResponse HandleQuery(const HttpQuery& query);
  // Returns the endpoint of the querying host, or nullopt if it is not stated.
  std::optional<model::Endpoint> RecordPeer(const HttpQuery& query);
  FleetView MakeFleetView(const std::string& failure_domain) const;
  const std::string& FullStateMessage(cluster_state::SteadyTime now);
  std::optional<FleetView> Merge(const model::Endpoint& peer,
                                 const std::string& message);
  // Returns the next peer to query: seeds and known peers in turn.
  model::Endpoint NextPeer();
  std::chrono::milliseconds QueryInterval() const;
  // The interval, shorter after the start, with jitter.
  std::chrono::milliseconds NextQueryDelay();

  boost::asio::io_context* m_context;
  cluster_state::ClusterState* m_cluster_state;
  Options m_options;
  HttpServer m_server;
  boost::asio::steady_timer m_timer;
  std::deque<KnownPeer> m_known_peers;
  uint32_t m_host_count = 0;
  size_t m_next_peer = 0;
  cluster_state::SteadyTime m_head_start_deadline;
  cluster_state::SteadyTime m_startup_end;
  bool m_is_fetching = false;
  SendRateLimiter m_full_state_limiter{kFullStateBytesPerSecond};
  // The cached full state and the state that it was encoded from.
  std::string m_full_state_message;
  KnownVersions m_full_state_versions{};
  uint64_t m_full_state_generation = 0;
  cluster_state::SteadyTime m_full_state_expiry;
  std::minstd_rand m_random;
  PeerCounts m_counts;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PEER_EXCHANGE_H_
