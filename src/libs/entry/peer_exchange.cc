#include "entry/peer_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "entry/belief_codec.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr const char* kBeliefPath = "/belief";

}  // namespace

PeerExchange::PeerExchange(asio::io_context* context,
                           cluster_state::ClusterState* cluster_state,
                           Options options)
    : m_context(context),
      m_belief(cluster_state),
      m_options(std::move(options)),
      m_responder(context, m_options.own_endpoint),
      m_timer(*context),
      m_random(std::random_device()()) {
  m_responder.Handle(kBeliefPath,
                     [this](const HttpQuery& query) { return Tell(query); });
}

void PeerExchange::Start() {
  m_patience_deadline = std::chrono::steady_clock::now() + kStorePatience;
  m_responder.Start();
  asio::co_spawn(*m_context, Run(), asio::detached);
}

void PeerExchange::set_seeds(std::vector<model::Endpoint> seeds) {
  m_options.seeds = std::move(seeds);
}

asio::awaitable<void> PeerExchange::Run() {
  while (true) {
    // At the start all are asked at once.
    const size_t count =
        m_belief->IsComplete() ? 1 : m_options.seeds.size() + m_askers.size();
    for (size_t i = 0; i < count; ++i) {
      const model::Endpoint peer = NextPeer();
      if (peer.port != 0 && peer != m_options.own_endpoint) {
        asio::co_spawn(*m_context, Ask(peer), asio::detached);
      }
    }
    const auto interval = Interval();
    m_timer.expires_after(interval / 2 + std::chrono::milliseconds(
                                             m_random() % interval.count()));
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
}

asio::awaitable<void> PeerExchange::Ask(model::Endpoint peer) {
  const auto body =
      co_await Get(peer, QueryFor(LacksKind(ListedRevisionsOf(*m_belief))));
  if (!body) {
    co_return;
  }
  const auto fleet = Merge(peer, *body);
  const bool is_useful = fleet && !LacksKind(fleet->revisions);
  if (is_useful && LacksKind(ListedRevisionsOf(*m_belief))) {
    co_await AskForWhole(peer);
  }
}

asio::awaitable<void> PeerExchange::AskForWhole(model::Endpoint peer) {
  const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_patience_deadline - std::chrono::steady_clock::now());
  if (patience.count() > 0 && !m_options.is_store_lost()) {
    asio::steady_timer timer(*m_context, patience);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (m_is_asking_for_whole || !LacksKind(ListedRevisionsOf(*m_belief))) {
    co_return;
  }
  m_is_asking_for_whole = true;
  const auto body = co_await Get(peer, QueryFor(false));
  m_is_asking_for_whole = false;
  if (body) {
    Merge(peer, *body);
  }
}

std::string PeerExchange::QueryFor(bool is_brief) const {
  return fmt::format("{}?known={}&from={}&findings={}&domain={}&brief={:d}",
                     kBeliefPath, ToText(ListedRevisionsOf(*m_belief)),
                     model::ToString(m_options.own_endpoint),
                     model::ToString(m_options.findings),
                     m_options.failure_domain, is_brief);
}

asio::awaitable<std::optional<std::string>> PeerExchange::Get(
    model::Endpoint peer,
    std::string target) {
  ++m_counts.asked;
  beast::tcp_stream stream(*m_context);
  stream.expires_after(kAskTimeout);
  try {
    co_await stream.async_connect({peer.address, peer.port},
                                  asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, model::ToString(peer));
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBeliefMessageBytes);
    // A whole belief takes seconds on a slow link: only silence ends the wait.
    while (!parser.is_done()) {
      stream.expires_after(kAskTimeout);
      co_await http::async_read_some(stream, buffer, parser,
                                     asio::use_awaitable);
    }
    if (parser.get().result() == http::status::ok) {
      co_return std::move(parser.release().body());
    }
  } catch (const boost::system::system_error&) {
    // Seeds are often stale; the counter tells how often.
  }
  ++m_counts.failed;
  co_return std::nullopt;
}

std::optional<FleetView> PeerExchange::Merge(const model::Endpoint& peer,
                                             const std::string& message) {
  const uint64_t before = m_belief->generation();
  FleetView fleet;
  try {
    fleet = MergeBelief(message, m_belief, std::chrono::steady_clock::now());
  } catch (const BeliefMessageError& error) {
    ++m_counts.failed;
    telemetry::Log(telemetry::LogLevel::kWarning, "peers", "message refused",
                   {{"peer", model::ToString(peer)}, {"reason", error.what()}});
    return std::nullopt;
  }
  if (fleet.host_count > 0) {
    m_host_count = fleet.host_count;
    m_options.fleet_seen(fleet);
  }
  if (m_belief->generation() != before) {
    ++m_counts.answered_newer;
    telemetry::Log(telemetry::LogLevel::kInfo, "peers",
                   "belief taken from peer",
                   {{"peer", model::ToString(peer)},
                    {"revisions", ToText(ListedRevisionsOf(*m_belief))}});
    m_options.changed();
  }
  return fleet;
}

HttpAnswer PeerExchange::Tell(const HttpQuery& query) {
  RememberAsker(query);
  const auto known = query.find("known");
  const ListedRevisions revisions =
      ParseListedRevisions(known == query.end() ? "" : known->second);
  const auto domain = query.find("domain");
  FleetView fleet = ViewFor(domain == query.end() ? "" : domain->second);
  fleet.revisions = ListedRevisionsOf(*m_belief);
  const auto now = std::chrono::steady_clock::now();
  const auto brief = query.find("brief");
  const bool is_brief = brief != query.end() && brief->second == "1";
  if (is_brief || !IsNewer(*m_belief, revisions)) {
    return {200, EncodeBelief(nullptr, revisions, fleet, now)};
  }
  if (!LacksKind(revisions)) {
    return {200, EncodeBelief(m_belief, revisions, fleet, now)};
  }
  const std::string& whole = WholeMessage(now);
  if (m_whole_budget.Take(whole.size(), now)) {
    ++m_counts.wholes_sent;
    return {200, whole};
  }
  ++m_counts.wholes_refused;
  return {200, EncodeBelief(nullptr, revisions, fleet, now)};
}

const std::string& PeerExchange::WholeMessage(cluster_state::SteadyTime now) {
  const ListedRevisions revisions = ListedRevisionsOf(*m_belief);
  const bool is_current = now < m_whole_expiry &&
                          m_whole_revisions == revisions &&
                          m_whole_generation == m_belief->generation();
  if (!is_current) {
    m_whole_message = EncodeBelief(m_belief, {}, {}, now);
    m_whole_revisions = revisions;
    m_whole_generation = m_belief->generation();
    m_whole_expiry = now + kWholeMessageAge;
  }
  return m_whole_message;
}

void PeerExchange::RememberAsker(const HttpQuery& query) {
  const auto value = [&query](const char* key) {
    const auto found = query.find(key);
    return found == query.end() ? std::string() : found->second;
  };
  const auto endpoint = model::ParseEndpoint(value("from"));
  const auto findings = model::ParseIpv4Endpoint(value("findings"));
  if (!endpoint || !findings) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto oldest = now - kAskerPauses * Interval();
  std::erase_if(m_askers, [&](const Asker& asker) {
    return asker.endpoint == *endpoint || asker.last_asked < oldest;
  });
  m_askers.push_back({*endpoint, *findings, value("domain"), now});
  if (m_askers.size() > kMaxAskers) {
    m_askers.pop_front();
  }
}

FleetView PeerExchange::ViewFor(const std::string& failure_domain) const {
  FleetView fleet;
  fleet.host_count = static_cast<uint32_t>(m_askers.size());
  const bool asks_itself =
      std::any_of(m_askers.begin(), m_askers.end(), [this](const Asker& asker) {
        return asker.endpoint == m_options.own_endpoint;
      });
  fleet.host_count += asks_itself ? 0 : 1;
  std::map<std::string, size_t> contacts;
  // The latest askers are the likeliest to be there.
  for (auto asker = m_askers.rbegin(); asker != m_askers.rend(); ++asker) {
    if (asker->failure_domain == failure_domain) {
      if (fleet.neighbours.size() < kMaxNeighbours) {
        fleet.neighbours.push_back(asker->findings);
      }
    } else if (contacts[asker->failure_domain]++ < kContactsPerDomain) {
      fleet.contacts.push_back(asker->findings);
    }
  }
  const auto own =
      model::ParseIpv4Endpoint(model::ToString(m_options.findings));
  if (own && m_options.failure_domain == failure_domain) {
    fleet.neighbours.push_back(*own);
  } else if (own && contacts[m_options.failure_domain] < kContactsPerDomain) {
    fleet.contacts.push_back(*own);
  }
  return fleet;
}

model::Endpoint PeerExchange::NextPeer() {
  const size_t count = m_options.seeds.size() + m_askers.size();
  if (count == 0) {
    return {};
  }
  const size_t index = m_next_peer++ % count;
  return index < m_options.seeds.size()
             ? m_options.seeds[index]
             : m_askers[index - m_options.seeds.size()].endpoint;
}

std::chrono::milliseconds PeerExchange::Interval() const {
  if (!m_belief->IsComplete()) {
    return kUrgentAskInterval;
  }
  if (m_options.is_store_lost()) {
    return kDoubtAskInterval;
  }
  return std::max(kIdleAskInterval, m_host_count * kIdleAskIntervalPerHost);
}

}  // namespace poplarsail::entry
