#include "runtime/membership_duty.h"

#include <poll.h>

#include <algorithm>
#include <random>
#include <utility>

namespace poplarsail::runtime {

namespace {

using model::Now;
using telemetry::Log;
using telemetry::LogLevel;

constexpr size_t kListRing = 16;
constexpr int kPollMillis = 20;

enum Count : size_t { kSent, kReceived, kMalformed, kRefuted, kLostCommand };

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

}  // namespace

MembershipDuty::MembershipDuty(const model::Settings& settings,
                               PacketDuty* packets)
    : m_settings(settings),
      m_packets(packets),
      m_port(settings.address, settings.membership_port),
      m_detector(settings.host_name, std::random_device()(), Now()),
      m_lists(kListRing),
      m_counters(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_membership_events_total",
          "Messages and events of the membership duty.",
          "event",
          std::vector<std::string>{"sent", "received", "malformed", "refuted",
                                   "lost_command"})) {}

void MembershipDuty::Run(const std::atomic<bool>& stop) {
  pollfd socket{m_port.fd(), POLLIN, 0};
  while (!stop.load(std::memory_order_relaxed)) {
    ::poll(&socket, 1, kPollMillis);
    TakeLists();
    TakeMessages();
    Send(m_detector.Tick(Now()), nullptr);
    NoteChanges();
    if (Now() >= m_next_keeper_change) {
      PublishKeepers();
    }
  }
}

void MembershipDuty::TakeLists() {
  std::shared_ptr<const MemberList> list;
  bool has_new = false;
  while (m_lists.TryPop(list)) {
    m_list = *list;
    has_new = true;
  }
  if (!has_new) {
    return;
  }
  std::vector<std::string> names;
  m_endpoints.clear();
  for (const steering::Member& member : m_list.members) {
    names.push_back(member.name);
    m_endpoints[member.name] = {member.relay.address,
                                m_settings.membership_port};
  }
  m_detector.SetPeers(names, Now());
  PublishKeepers();
}

void MembershipDuty::TakeMessages() {
  const auto datagrams = m_port.Receive();
  for (size_t i = 0; i < datagrams.size(); ++i) {
    const auto message = membership::Decode(datagrams[i]);
    if (!message) {
      m_counters->Add(kMalformed);
      continue;
    }
    m_counters->Add(kReceived);
    const model::Endpoint sender = m_port.SenderOf(i);
    Send(m_detector.Receive(*message, Now()), &sender);
  }
}

// A host that is not listed yet is answered where its message came from.
void MembershipDuty::Send(
    const std::vector<membership::OutgoingMessage>& messages,
    const model::Endpoint* answer_to) {
  std::vector<std::string> encoded;
  encoded.reserve(messages.size());
  for (const membership::OutgoingMessage& item : messages) {
    const auto known = m_endpoints.find(item.to);
    if (known == m_endpoints.end() && answer_to == nullptr) {
      continue;
    }
    encoded.push_back(membership::Encode(item.message));
    const std::string& bytes = encoded.back();
    m_port.Queue(
        known == m_endpoints.end() ? *answer_to : known->second, {},
        {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
    m_counters->Add(kSent);
  }
  m_port.Flush();
}

void MembershipDuty::NoteChanges() {
  if (m_detector.refutation_count() != m_seen_refutations) {
    m_seen_refutations = m_detector.refutation_count();
    m_counters->Add(kRefuted);
    if (!m_packets->member_commands().TryPush(NotePauseCommand{})) {
      m_counters->Add(kLostCommand);
      m_seen_refutations = 0;
    }
  }
  if (m_detector.change_count() == m_seen_changes) {
    return;
  }
  m_seen_changes = m_detector.change_count();
  const std::vector<std::string> dead = m_detector.DeadPeers();
  if (dead != m_dead) {
    Log(LogLevel::kWarning, "membership", "entry hosts that do not answer",
        {{"hosts", Join(dead)}});
    m_dead = dead;
  }
  PublishKeepers();
}

void MembershipDuty::PublishKeepers() {
  auto keepers = steering::ReplicaHostsAt(m_list.members, Now());
  m_next_keeper_change = steering::NextReplicaChange(m_list.members, Now());
  std::erase_if(keepers, [this](const steering::Member& member) {
    return std::binary_search(m_dead.begin(), m_dead.end(), member.name);
  });
  const bool is_unchanged = keepers == m_published_keepers &&
                            m_list.failure_domains == m_published_domains;
  if (is_unchanged) {
    return;
  }
  const SetMembersCommand command{std::make_shared<const steering::ReplicaMap>(
      keepers, m_list.failure_domains)};
  if (!m_packets->member_commands().TryPush(command)) {
    m_counters->Add(kLostCommand);
    m_next_keeper_change = Now();
    return;
  }
  m_published_keepers = std::move(keepers);
  m_published_domains = m_list.failure_domains;
}

}  // namespace poplarsail::runtime
