// Messages of other hosts in any order and with any contents make no handler
// throw.
#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <variant>
#include <vector>

#include "entry/local_schedulers.h"
#include "entry/service_pools.h"
#include "scheduling/scheduling.h"

namespace poplarsail::entry {
namespace {

using namespace std::chrono_literals;
using cluster_state::ClusterState;
using model::Ipv4Endpoint;

constexpr Ipv4Endpoint kListener{0xc6120001, 8443};
constexpr const char* kService = "tally";
constexpr uint32_t kSeed = 20'261'205;
constexpr int kMessages = 200'000;
constexpr uint32_t kSenders = 4;
constexpr uint32_t kTokens = 40;
constexpr uint32_t kUpstreams = 6;

ClusterState MakeClusterState() {
  ClusterState state;
  const scheduling::SteadyTime now{1'000s};
  cluster_state::Configuration configuration;
  configuration.version = 1;
  configuration.listeners = {
      {"alerts", kListener, {{kService, 1}}, 0, 2'000ms, 4'000ms}};
  configuration.services = {{kService, 0, "/health"}};
  state.Apply(ClusterState::ConfigurationEntry{"main", 1, configuration}, now);
  for (uint64_t id = 1; id < kUpstreams; ++id) {
    cluster_state::UpstreamRecord record;
    record.id = id;
    record.service = kService;
    record.endpoint = {0x0a000000 + static_cast<uint32_t>(id), 80};
    record.failure_domain = "regina";
    record.slots = 2;
    state.Apply(ClusterState::UpstreamEntry{std::to_string(id), id, record},
                now);
  }
  return state;
}

// The state machines of one host that messages reach, without its sockets.
struct Host {
  explicit Host(const Ipv4Endpoint& endpoint)
      : own{endpoint, 5},
        client(own),
        pools("regina"),
        schedulers(own,
                   "regina",
                   &pools,
                   [this](const Ipv4Endpoint& receiver,
                          const scheduling::SchedulingMessage& message) {
                     Deliver(receiver, message);
                   }) {
    pools.Update(MakeClusterState());
    client.SetCandidates({own});
  }

  void Deliver(const Ipv4Endpoint& receiver,
               const scheduling::SchedulingMessage& message) {
    if (receiver == own.endpoint) {
      Handle(receiver, message);
    }
  }

  void Handle(const Ipv4Endpoint& sender,
              const scheduling::SchedulingMessage& message) {
    std::visit(
        [&](const auto& body) { HandleBody(sender, message.service, body); },
        message.body);
  }

  void Execute(const scheduling::ClientActions& actions) {
    for (const scheduling::ClientAction& action : actions) {
      const uint32_t token = action.request.key.token;
      ++action_count;
      if (action.kind == scheduling::ClientActionKind::kSendRequest) {
        scheduling::PlaceMessage message;
        message.token = token;
        message.listener = action.request.listener;
        Deliver(action.scheduler, {action.service, message});
      } else if (action.kind == scheduling::ClientActionKind::kPlace) {
        client.OnPlaced(action.service, token, action.upstream_id, Now());
        if (token % 2 == 0) {
          client.OnCompleted({token, action.upstream_id}, Now());
        }
      }
    }
  }

  scheduling::SteadyTime Now() const { return now; }

  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string& service,
                  const scheduling::PlaceMessage& body) {
    schedulers.OnPlace(service, body, sender, Now());
  }
  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string& service,
                  const scheduling::GrantMessage& body) {
    schedulers.OnForwardGranted(service, body.token, sender, Now());
    Execute(client.OnGrant(sender, body.token, body.upstream_id, Now()));
  }
  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string&,
                  const scheduling::QueuedMessage& body) {
    Execute(client.OnQueued(sender, body.token, Now()));
  }
  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string& service,
                  const scheduling::RefuseMessage& body) {
    if (body.forwarded_for) {
      schedulers.OnForwardRefused(service, {*body.forwarded_for, body.token},
                                  Now());
      return;
    }
    Execute(
        client.OnRefusal(sender, body.token, body.reason, body.other, Now()));
  }
  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string& service,
                  const scheduling::CompleteMessage& body) {
    schedulers.OnComplete(service, body, sender, Now());
  }
  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string& service,
                  const scheduling::SnapshotMessage& body) {
    schedulers.OnSnapshot(service, body, sender, Now());
  }
  void HandleBody(const Ipv4Endpoint&,
                  const std::string& service,
                  const scheduling::LearnedMessage& body) {
    schedulers.OnLearned(service, body, Now());
  }
  void HandleBody(const Ipv4Endpoint& sender,
                  const std::string&,
                  scheduling::Announcement body) {
    body.scheduler = sender;
    client.OnAnnouncement(body, Now());
    schedulers.OnAnnouncement(body, Now());
  }

  scheduling::Candidate own;
  scheduling::PlacementClient client;
  ServicePools pools;
  LocalSchedulers schedulers;
  scheduling::SteadyTime now{1'000s};
  int action_count = 0;
};

class MessageSource {
 public:
  explicit MessageSource(const Ipv4Endpoint& own) : m_own(own) {}

  uint32_t Number(uint32_t end) {
    return std::uniform_int_distribution<uint32_t>(0, end - 1)(m_random);
  }

  Ipv4Endpoint Sender() {
    const uint32_t number = Number(kSenders + 1);
    return number == 0 ? m_own : Ipv4Endpoint{0x7f180a00 + number, 8173};
  }

  void AddOwnToken(uint32_t token) {
    m_own_tokens.push_back(token);
    if (m_own_tokens.size() > kTokens) {
      m_own_tokens.erase(m_own_tokens.begin());
    }
  }

  uint32_t Token() {
    const bool is_own = !m_own_tokens.empty() && Number(2) == 0;
    return is_own ? m_own_tokens[Number(
                        static_cast<uint32_t>(m_own_tokens.size()))]
                  : Number(kTokens) + 1;
  }

  scheduling::SchedulingMessage Next() {
    const char* service = Number(20) == 0 ? "unknown" : kService;
    return {service, Body()};
  }

 private:
  scheduling::MessageBody Body() {
    switch (Number(8)) {
      case 0:
        return Place();
      case 1:
        return scheduling::GrantMessage{Token(), Number(kUpstreams)};
      case 2:
        return scheduling::QueuedMessage{Token()};
      case 3:
        return Refusal();
      case 4: {
        const scheduling::Completion completion{
            Token(), Number(kUpstreams),
            static_cast<scheduling::Outcome>(Number(3) + 1),
            std::chrono::microseconds(Number(5'000) * 100)};
        return scheduling::CompleteMessage{{completion, completion}};
      }
      case 5: {
        const uint32_t parts = Number(3) + 1;
        return scheduling::SnapshotMessage{
            Number(parts), parts, {{Token(), Number(kUpstreams), 10ms}}};
      }
      case 6:
        return Announcement();
      default:
        return scheduling::LearnedMessage{};
    }
  }

  scheduling::PlaceMessage Place() {
    scheduling::PlaceMessage message;
    message.token = Token();
    message.listener = Number(5) == 0 ? Ipv4Endpoint{1, 1} : kListener;
    message.client_address = Number(10);
    message.syn_age = std::chrono::milliseconds(Number(3'000));
    message.excluded_upstream_ids = {Number(kUpstreams)};
    if (Number(3) == 0) {
      message.forwarded_for = Sender();
    }
    return message;
  }

  scheduling::RefuseMessage Refusal() {
    scheduling::RefuseMessage message;
    message.token = Token();
    message.reason = static_cast<scheduling::RefusalReason>(Number(3) + 1);
    if (message.reason == scheduling::RefusalReason::kUseOther) {
      message.other = Sender();
    }
    if (Number(3) == 0) {
      message.forwarded_for = Sender();
    }
    return message;
  }

  scheduling::Announcement Announcement() {
    scheduling::Announcement message;
    message.service = kService;
    message.failure_domain = Number(2) == 0 ? "regina" : "other";
    message.capacity_class = Number(20);
    message.places = Number(100);
    message.outstanding = Number(100);
    message.waiting = Number(100);
    message.free_places = Number(100);
    if (Number(3) == 0) {
      message.scheduler = Sender();
    }
    return message;
  }

  Ipv4Endpoint m_own;
  std::minstd_rand m_random{kSeed};
  std::vector<uint32_t> m_own_tokens;
};

TEST_CASE("No sequence of scheduling messages makes the scheduling throw") {
  Host host({0x7f180a00, 8173});
  MessageSource source(host.own.endpoint);
  int decoded = 0;
  for (int i = 0; i < kMessages; ++i) {
    host.now += std::chrono::milliseconds(source.Number(5));
    if (source.Number(10) == 0) {
      scheduling::PlacementRequest request;
      request.listener = kListener;
      request.client_address = source.Number(10);
      request.first_syn = host.Now();
      const auto actions = host.client.Request(kService, request, host.Now());
      source.AddOwnToken(actions.front().request.key.token);
      host.Execute(actions);
    }
    if (source.Number(50) == 0) {
      host.Execute(host.client.Tick(host.Now()));
      host.schedulers.Tick(host.Now());
    }
    const Ipv4Endpoint sender = source.Sender();
    for (std::vector<uint8_t> datagram :
         scheduling::EncodeMessage(source.Next())) {
      if (source.Number(4) == 0) {
        const auto size = static_cast<uint32_t>(datagram.size());
        datagram[source.Number(size)] =
            static_cast<uint8_t>(source.Number(256));
      }
      if (const auto message = scheduling::DecodeMessage(datagram)) {
        ++decoded;
        host.Handle(sender, *message);
      }
    }
  }
  CHECK(decoded > kMessages / 2);
  CHECK(host.action_count > kMessages / 20);
}

}  // namespace
}  // namespace poplarsail::entry
