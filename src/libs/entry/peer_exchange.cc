#include "entry/peer_exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "entry/cluster_state_codec.h"
#include "entry/handler_errors.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr const char* kClusterStatePath = "/belief";

// Returns 0 if the capacity is not stated or is invalid.
uint32_t ParseCapacity(const std::string& text) {
  uint32_t value = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  const bool is_valid =
      error == std::errc() && end == text_end && value <= kMaxCpuThousandths;
  return is_valid ? value : 0;
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context* context,
                           cluster_state::ClusterState* cluster_state,
                           Options options)
    : m_context(context),
      m_cluster_state(cluster_state),
      m_options(std::move(options)),
      m_server(context, {"peers", m_options.own_endpoint, kMaxPeerConnections}),
      m_timer(*context),
      m_random(std::random_device()()) {
  m_server.AddHandler(kClusterStatePath, [this](const HttpQuery& query) {
    return HandleQuery(query);
  });
}

void PeerExchange::Start() {
  const auto now = std::chrono::steady_clock::now();
  m_head_start_deadline = now + kStoreHeadStart;
  m_startup_end = now + kStartupPeriod;
  m_server.Start();
  SpawnRestarting(m_context, "peers", [this]() { return Run(); });
}

void PeerExchange::set_seeds(std::vector<model::Endpoint> seeds) {
  m_options.seeds = std::move(seeds);
}

asio::awaitable<void> PeerExchange::Run() {
  while (true) {
    // Query all peers at once while the cluster state is incomplete.
    const size_t count = m_cluster_state->IsComplete()
                             ? 1
                             : m_options.seeds.size() + m_known_peers.size();
    for (size_t i = 0; i < count; ++i) {
      const model::Endpoint peer = NextPeer();
      if (peer.port != 0 && peer != m_options.own_endpoint) {
        SpawnGuarded(m_context, "peers", QueryPeer(peer));
      }
    }
    m_timer.expires_after(NextQueryDelay());
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
}

asio::awaitable<void> PeerExchange::QueryPeer(model::Endpoint peer) {
  const auto body = co_await Get(
      peer, MakeQueryTarget(LacksKind(KnownVersionsOf(*m_cluster_state))));
  if (!body) {
    co_return;
  }
  const auto fleet = Merge(peer, *body);
  const bool is_useful = fleet && !LacksKind(fleet->known);
  if (is_useful && LacksKind(KnownVersionsOf(*m_cluster_state))) {
    co_await FetchFullState(peer);
  }
  if (fleet && m_cluster_state->IsComplete() &&
      IsConfigurationNewer(fleet->known)) {
    co_await FetchChanges(peer);
  }
}

asio::awaitable<void> PeerExchange::FetchFullState(model::Endpoint peer) {
  const auto head_start = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_head_start_deadline - std::chrono::steady_clock::now());
  if (head_start.count() > 0 && !m_options.is_store_unreachable()) {
    asio::steady_timer timer(*m_context, head_start);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (LacksKind(KnownVersionsOf(*m_cluster_state))) {
    co_await FetchChanges(peer);
  }
}

asio::awaitable<void> PeerExchange::FetchChanges(model::Endpoint peer) {
  if (m_is_fetching) {
    co_return;
  }
  m_is_fetching = true;
  std::optional<std::string> body;
  try {
    body = co_await Get(peer, MakeQueryTarget(false));
  } catch (...) {
    m_is_fetching = false;
    throw;
  }
  m_is_fetching = false;
  if (body) {
    Merge(peer, *body);
  }
}

bool PeerExchange::IsConfigurationNewer(const KnownVersions& known) const {
  return known.configuration > KnownVersionsOf(*m_cluster_state).configuration;
}

void PeerExchange::QueryIfNewer(const model::Endpoint& peer,
                                const KnownVersions& known) {
  if (m_cluster_state->IsComplete() && IsConfigurationNewer(known)) {
    SpawnGuarded(m_context, "peers", FetchChanges(peer));
  }
}

std::string PeerExchange::MakeQueryTarget(bool is_brief) const {
  return fmt::format(
      "{}?known={}&from={}&findings={}&domain={}&brief={:d}&cpu={}",
      kClusterStatePath, ToText(KnownVersionsOf(*m_cluster_state)),
      model::ToString(m_options.own_endpoint),
      model::ToString(m_options.report_endpoint), m_options.failure_domain,
      is_brief, m_options.cpu_thousandths);
}

asio::awaitable<std::optional<std::string>> PeerExchange::Get(
    model::Endpoint peer,
    std::string target) {
  ++m_counts.queries;
  beast::tcp_stream stream(*m_context);
  stream.expires_after(kQueryTimeout);
  try {
    co_await stream.async_connect({peer.address, peer.port},
                                  asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, model::ToString(peer));
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxStateMessageBytes);
    // A full state takes seconds on a slow link, so the timeout restarts with
    // each read.
    while (!parser.is_done()) {
      stream.expires_after(kQueryTimeout);
      co_await http::async_read_some(stream, buffer, parser,
                                     asio::use_awaitable);
    }
    if (parser.get().result() == http::status::ok) {
      co_return std::move(parser.release().body());
    }
  } catch (const boost::system::system_error&) {
    // Not logged since seed addresses are often stale; counted below.
  }
  ++m_counts.failed;
  co_return std::nullopt;
}

std::optional<FleetView> PeerExchange::Merge(const model::Endpoint& peer,
                                             const std::string& message) {
  const uint64_t generation_before = m_cluster_state->generation();
  FleetView fleet;
  try {
    fleet = MergeClusterState(message, m_cluster_state,
                              std::chrono::steady_clock::now());
  } catch (const StateMessageError& error) {
    ++m_counts.failed;
    telemetry::Log(telemetry::LogLevel::kWarning, "peers",
                   "invalid message from peer ignored",
                   {{"peer", model::ToString(peer)}, {"reason", error.what()}});
    return std::nullopt;
  }
  // A host counts itself and those that it knows.
  fleet.host_count = std::min<uint32_t>(fleet.host_count, kMaxKnownPeers + 1);
  if (fleet.host_count > 0) {
    m_host_count = fleet.host_count;
    m_options.on_fleet_view(fleet);
  }
  if (m_cluster_state->generation() != generation_before) {
    ++m_counts.newer_responses;
    telemetry::Log(telemetry::LogLevel::kInfo, "peers",
                   "belief taken from peer",
                   {{"peer", model::ToString(peer)},
                    {"revisions", ToText(KnownVersionsOf(*m_cluster_state))}});
    m_options.on_change();
  }
  return fleet;
}

HttpResponse PeerExchange::HandleQuery(const HttpQuery& query) {
  const auto known = query.find("known");
  const KnownVersions versions =
      ParseKnownVersions(known == query.end() ? "" : known->second);
  if (const auto peer = RecordPeer(query)) {
    QueryIfNewer(*peer, versions);
  }
  const auto domain = query.find("domain");
  FleetView fleet = MakeFleetView(domain == query.end() ? "" : domain->second);
  fleet.known = KnownVersionsOf(*m_cluster_state);
  const auto now = std::chrono::steady_clock::now();
  const auto brief = query.find("brief");
  const bool is_brief = brief != query.end() && brief->second == "1";
  if (is_brief || !IsNewer(*m_cluster_state, versions)) {
    return {200, EncodeClusterState(nullptr, versions, fleet, now)};
  }
  if (!NeedsAllUpstreams(*m_cluster_state, versions)) {
    return {200, EncodeClusterState(m_cluster_state, versions, fleet, now)};
  }
  const std::string& full_state = FullStateMessage(now);
  if (m_full_state_limiter.TryConsume(full_state.size(), now)) {
    ++m_counts.full_states_sent;
    return {200, full_state};
  }
  ++m_counts.full_states_refused;
  return {200, EncodeClusterState(nullptr, versions, fleet, now)};
}

const std::string& PeerExchange::FullStateMessage(
    cluster_state::SteadyTime now) {
  const KnownVersions versions = KnownVersionsOf(*m_cluster_state);
  const bool is_current =
      now < m_full_state_expiry && m_full_state_versions == versions &&
      m_full_state_generation == m_cluster_state->generation();
  if (!is_current) {
    m_full_state_message = EncodeClusterState(m_cluster_state, {}, {}, now);
    m_full_state_versions = versions;
    m_full_state_generation = m_cluster_state->generation();
    m_full_state_expiry = now + kFullStateCacheTime;
  }
  return m_full_state_message;
}

std::optional<model::Endpoint> PeerExchange::RecordPeer(
    const HttpQuery& query) {
  const auto value = [&query](const char* key) {
    const auto found = query.find(key);
    return found == query.end() ? std::string() : found->second;
  };
  const auto endpoint = model::ParseEndpoint(value("from"));
  const auto report_endpoint = model::ParseIpv4Endpoint(value("findings"));
  if (!endpoint || !report_endpoint) {
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto oldest = now - kKnownPeerExpiryIntervals * QueryInterval();
  std::erase_if(m_known_peers, [&](const KnownPeer& peer) {
    return peer.endpoint == *endpoint || peer.last_query < oldest;
  });
  m_known_peers.push_back({*endpoint, *report_endpoint, value("domain"), now,
                           ParseCapacity(value("cpu"))});
  if (m_known_peers.size() > kMaxKnownPeers) {
    m_known_peers.pop_front();
  }
  return *endpoint;
}

FleetView PeerExchange::MakeFleetView(const std::string& failure_domain) const {
  FleetView fleet;
  fleet.host_count = static_cast<uint32_t>(m_known_peers.size());
  const bool queries_itself =
      std::any_of(m_known_peers.begin(), m_known_peers.end(),
                  [this](const KnownPeer& peer) {
                    return peer.endpoint == m_options.own_endpoint;
                  });
  fleet.host_count += queries_itself ? 0 : 1;
  std::map<std::string, size_t> remote_peer_counts;
  // Peers that queried most recently are the most likely to be still running.
  for (auto peer = m_known_peers.rbegin(); peer != m_known_peers.rend();
       ++peer) {
    if (peer->failure_domain == failure_domain) {
      if (fleet.local_peers.size() < kMaxLocalPeers) {
        fleet.local_peers.push_back(peer->report_endpoint);
        fleet.local_capacities.push_back(peer->cpu_thousandths);
      }
    } else if (remote_peer_counts[peer->failure_domain]++ <
               kRemotePeersPerDomain) {
      fleet.remote_peers.push_back(peer->report_endpoint);
    }
  }
  const auto own =
      model::ParseIpv4Endpoint(model::ToString(m_options.report_endpoint));
  if (own && m_options.failure_domain == failure_domain) {
    fleet.local_peers.push_back(*own);
    fleet.local_capacities.push_back(m_options.cpu_thousandths);
  } else if (own && remote_peer_counts[m_options.failure_domain] <
                        kRemotePeersPerDomain) {
    fleet.remote_peers.push_back(*own);
  }
  return fleet;
}

model::Endpoint PeerExchange::NextPeer() {
  const size_t count = m_options.seeds.size() + m_known_peers.size();
  if (count == 0) {
    return {};
  }
  const size_t index = m_next_peer++ % count;
  return index < m_options.seeds.size()
             ? m_options.seeds[index]
             : m_known_peers[index - m_options.seeds.size()].endpoint;
}

std::chrono::milliseconds PeerExchange::QueryInterval() const {
  if (!m_cluster_state->IsComplete()) {
    return kIncompleteQueryInterval;
  }
  if (m_options.is_store_unreachable()) {
    return kStoreLostQueryInterval;
  }
  return std::max(kIdleQueryInterval, m_host_count * kIdleQueryIntervalPerHost);
}

std::chrono::milliseconds PeerExchange::NextQueryDelay() {
  auto interval = QueryInterval();
  if (std::chrono::steady_clock::now() < m_startup_end) {
    interval =
        std::min(interval, std::max(kStoreLostQueryInterval,
                                    m_host_count * kIdleQueryIntervalPerHost));
  }
  return interval / 2 +
         std::chrono::milliseconds(m_random() % interval.count());
}

}  // namespace poplarsail::entry
