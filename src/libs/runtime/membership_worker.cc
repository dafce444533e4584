#include "runtime/membership_worker.h"

#include <poll.h>

#include <algorithm>
#include <random>
#include <utility>

namespace poplarsail::runtime {

namespace {

using model::Now;
using telemetry::Log;
using telemetry::LogLevel;

constexpr size_t kMemberListQueueCapacity = 16;
constexpr int kPollTimeoutMs = 20;

enum MembershipEvent : size_t {
  kSent,
  kReceived,
  kMalformed,
  kRefuted,
  kLostCommand
};

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

}  // namespace

MembershipWorker::MembershipWorker(const model::Settings& settings,
                                   PacketWorker* packets)
    : m_settings(settings),
      m_packets(packets),
      m_socket(settings.address, settings.membership_port),
      m_detector(settings.host_name, std::random_device()(), Now()),
      m_member_lists(kMemberListQueueCapacity),
      m_counters(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_membership_events_total",
          "Messages and events of the membership worker.",
          "event",
          std::vector<std::string>{"sent", "received", "malformed", "refuted",
                                   "lost_command"})) {}

void MembershipWorker::Run(const std::atomic<bool>& stop) {
  pollfd socket{m_socket.fd(), POLLIN, 0};
  while (!stop.load(std::memory_order_relaxed)) {
    ::poll(&socket, 1, kPollTimeoutMs);
    ApplyMemberLists();
    ReceiveMessages();
    Send(m_detector.Tick(Now()), nullptr);
    HandleDetectorChanges();
    if (Now() >= m_next_replica_change) {
      PublishReplicaHosts();
    }
  }
}

void MembershipWorker::ApplyMemberLists() {
  std::shared_ptr<const MemberList> list;
  bool has_new_list = false;
  while (m_member_lists.TryPop(list)) {
    m_member_list = *list;
    has_new_list = true;
  }
  if (!has_new_list) {
    return;
  }
  std::vector<std::string> names;
  m_endpoints.clear();
  for (const steering::Member& member : m_member_list.members) {
    names.push_back(member.name);
    m_endpoints[member.name] = {member.relay.address,
                                m_settings.membership_port};
  }
  m_detector.SetPeers(names, Now());
  PublishReplicaHosts();
}

void MembershipWorker::ReceiveMessages() {
  const auto datagrams = m_socket.Receive();
  for (size_t i = 0; i < datagrams.size(); ++i) {
    const auto message = membership::Decode(datagrams[i]);
    if (!message) {
      m_counters->Add(kMalformed);
      continue;
    }
    m_counters->Add(kReceived);
    const model::Endpoint sender = m_socket.SenderOf(i);
    Send(m_detector.Receive(*message, Now()), &sender);
  }
}

// Replies to a host that is not listed yet go to the sender address of its
// message.
void MembershipWorker::Send(
    const std::vector<membership::OutgoingMessage>& messages,
    const model::Endpoint* reply_to) {
  std::vector<std::string> encoded;
  encoded.reserve(messages.size());
  for (const membership::OutgoingMessage& item : messages) {
    const auto endpoint = m_endpoints.find(item.to);
    if (endpoint == m_endpoints.end() && reply_to == nullptr) {
      continue;
    }
    encoded.push_back(membership::Encode(item.message));
    const std::string& bytes = encoded.back();
    m_socket.Queue(
        endpoint == m_endpoints.end() ? *reply_to : endpoint->second, {},
        {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
    m_counters->Add(kSent);
  }
  m_socket.Flush();
}

void MembershipWorker::HandleDetectorChanges() {
  if (m_detector.refutation_count() != m_handled_refutations) {
    m_handled_refutations = m_detector.refutation_count();
    m_counters->Add(kRefuted);
    if (!m_packets->member_commands().TryPush(MarkRecordsIncompleteCommand{})) {
      m_counters->Add(kLostCommand);
      m_handled_refutations = 0;
    }
  }
  if (m_detector.change_count() == m_handled_changes) {
    return;
  }
  m_handled_changes = m_detector.change_count();
  const std::vector<std::string> dead = m_detector.DeadPeers();
  if (dead != m_dead_peers) {
    Log(LogLevel::kWarning, "membership",
        "set of unresponsive entry hosts changed", {{"hosts", Join(dead)}});
    m_dead_peers = dead;
  }
  PublishReplicaHosts();
}

void MembershipWorker::PublishReplicaHosts() {
  auto replica_hosts = steering::ReplicaHostsAt(m_member_list.members, Now());
  m_next_replica_change =
      steering::NextReplicaChange(m_member_list.members, Now());
  std::erase_if(replica_hosts, [this](const steering::Member& member) {
    return std::binary_search(m_dead_peers.begin(), m_dead_peers.end(),
                              member.name);
  });
  const bool is_unchanged =
      replica_hosts == m_published_replica_hosts &&
      m_member_list.failure_domains == m_published_domains;
  if (is_unchanged) {
    return;
  }
  const SetMembersCommand command{std::make_shared<const steering::ReplicaMap>(
      replica_hosts, m_member_list.failure_domains)};
  if (!m_packets->member_commands().TryPush(command)) {
    m_counters->Add(kLostCommand);
    m_next_replica_change = Now();
    return;
  }
  m_published_replica_hosts = std::move(replica_hosts);
  m_published_domains = m_member_list.failure_domains;
}

}  // namespace poplarsail::runtime
