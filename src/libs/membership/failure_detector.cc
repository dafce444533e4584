#include "membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace poplarsail::membership {

namespace {

constexpr std::chrono::milliseconds kProtocolPeriod{500};
constexpr std::chrono::milliseconds kPingTimeout{200};
constexpr std::chrono::milliseconds kSuspicionTimeout{1'500};
constexpr size_t kIntermediaryCount = 2;
constexpr size_t kMaxUpdatesPerMessage = 6;
constexpr int kTransmissionFactor = 3;
// One dead peer is pinged every this many periods, to detect its return.
constexpr uint64_t kPeriodsPerDeadPing = 2;

int TransmissionsFor(size_t peer_count) {
  return kTransmissionFactor * static_cast<int>(std::bit_width(peer_count + 1));
}

}  // namespace

FailureDetector::FailureDetector(std::string self, uint64_t seed, TimePoint now)
    : m_self(std::move(self)), m_random(seed), m_period_ends_at(now) {
  // A random offset keeps hosts that start together from pinging in step.
  std::uniform_int_distribution<int64_t> offset(0, kProtocolPeriod.count());
  m_period_ends_at += std::chrono::milliseconds(offset(m_random));
}

void FailureDetector::SetPeers(const std::vector<std::string>& names,
                               TimePoint) {
  std::map<std::string, Peer> peers;
  for (const std::string& name : names) {
    if (name == m_self) {
      continue;
    }
    const auto known = m_peers.find(name);
    peers[name] = known == m_peers.end() ? Peer{} : known->second;
  }
  m_peers = std::move(peers);
  std::erase_if(m_ping_order, [this](const std::string& name) {
    return !m_peers.contains(name);
  });
  std::erase_if(m_pending_updates, [this](const auto& item) {
    return item.first != m_self && !m_peers.contains(item.first);
  });
  ++m_change_count;
}

std::vector<OutgoingMessage> FailureDetector::Tick(TimePoint now) {
  std::vector<OutgoingMessage> out;
  for (auto& [name, peer] : m_peers) {
    if (peer.state == PeerState::kSuspect && now >= peer.suspect_until) {
      SetState(name, &peer, PeerState::kDead, peer.incarnation, now);
      QueueUpdate({name, PeerState::kDead, peer.incarnation});
    }
  }
  if (now >= m_period_ends_at) {
    EndPeriod(now);
    StartPeriod(now, &out);
  } else if (now >= m_ping_timeout_at && !m_target_acknowledged &&
             !m_ping_requests_sent) {
    SendPingRequests(&out);
  }
  return out;
}

void FailureDetector::EndPeriod(TimePoint now) {
  std::erase_if(m_indirect_pings, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
  const auto target = m_peers.find(m_ping_target);
  if (m_target_acknowledged || target == m_peers.end() ||
      target->second.state != PeerState::kAlive) {
    return;
  }
  Peer& peer = target->second;
  SetState(m_ping_target, &peer, PeerState::kSuspect, peer.incarnation, now);
  QueueUpdate({m_ping_target, PeerState::kSuspect, peer.incarnation});
}

void FailureDetector::StartPeriod(TimePoint now,
                                  std::vector<OutgoingMessage>* out) {
  m_period_ends_at = now + kProtocolPeriod;
  m_ping_timeout_at = now + kPingTimeout;
  m_ping_target = NextPingTarget();
  m_target_acknowledged = m_ping_target.empty();
  m_ping_requests_sent = m_ping_target.empty();
  if (!m_ping_target.empty()) {
    m_ping_sequence = ++m_sequence;
    out->push_back(
        MakeMessage(m_ping_target, MessageType::kPing, "", m_ping_sequence));
  }
  if (++m_period_count % kPeriodsPerDeadPing == 0) {
    PingOneDead(out);
  }
}

void FailureDetector::SendPingRequests(std::vector<OutgoingMessage>* out) {
  m_ping_requests_sent = true;
  for (const std::string& intermediary : PickIntermediaries(m_ping_target)) {
    out->push_back(MakeMessage(intermediary, MessageType::kPingRequest,
                               m_ping_target, m_ping_sequence));
  }
}

// The ping tells the peer that it is considered dead, so that it can refute
// this.
void FailureDetector::PingOneDead(std::vector<OutgoingMessage>* out) {
  const std::vector<std::string> dead = DeadPeers();
  if (dead.empty()) {
    return;
  }
  const std::string& name = dead[m_random() % dead.size()];
  OutgoingMessage ping =
      MakeMessage(name, MessageType::kPing, "", ++m_sequence);
  ping.message.updates.push_back(
      {name, PeerState::kDead, m_peers.at(name).incarnation});
  out->push_back(std::move(ping));
}

// Each peer is pinged once, in a random order, before any is pinged again.
std::string FailureDetector::NextPingTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!m_ping_order.empty()) {
      const std::string name = m_ping_order.back();
      m_ping_order.pop_back();
      if (m_peers.at(name).state != PeerState::kDead) {
        return name;
      }
    }
    for (const auto& [name, peer] : m_peers) {
      m_ping_order.push_back(name);
    }
    std::shuffle(m_ping_order.begin(), m_ping_order.end(), m_random);
  }
  return "";
}

std::vector<std::string> FailureDetector::PickIntermediaries(
    const std::string& target) {
  std::vector<std::string> candidates;
  for (const auto& [name, peer] : m_peers) {
    if (name != target && peer.state == PeerState::kAlive) {
      candidates.push_back(name);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), m_random);
  candidates.resize(std::min(candidates.size(), kIntermediaryCount));
  return candidates;
}

std::vector<OutgoingMessage> FailureDetector::Receive(const Message& message,
                                                      TimePoint now) {
  std::vector<OutgoingMessage> out;
  if (!m_peers.contains(message.from)) {
    // The platform's list may not contain a new host yet: acknowledges its ping
    // and ignores the rest of the message.
    if (message.type == MessageType::kPing) {
      out.push_back({message.from,
                     {MessageType::kAck, m_self, "", message.sequence, {}}});
    }
    return out;
  }
  for (const PeerUpdate& update : message.updates) {
    ApplyUpdate(update, now);
  }
  switch (message.type) {
    case MessageType::kPing:
      out.push_back(
          MakeMessage(message.from, MessageType::kAck, "", message.sequence));
      break;
    case MessageType::kPingRequest: {
      if (!m_peers.contains(message.target)) {
        break;
      }
      const uint32_t sequence = ++m_sequence;
      m_indirect_pings[sequence] = {message.from, message.sequence,
                                    now + kProtocolPeriod};
      out.push_back(
          MakeMessage(message.target, MessageType::kPing, "", sequence));
      break;
    }
    case MessageType::kAck: {
      if (message.sequence == m_ping_sequence &&
          (message.from == m_ping_target || message.target == m_ping_target)) {
        m_target_acknowledged = true;
      }
      const auto indirect_ping = m_indirect_pings.find(message.sequence);
      if (indirect_ping != m_indirect_pings.end()) {
        out.push_back(MakeMessage(indirect_ping->second.requester,
                                  MessageType::kAck, message.from,
                                  indirect_ping->second.sequence));
        m_indirect_pings.erase(indirect_ping);
      }
      break;
    }
  }
  return out;
}

void FailureDetector::ApplyUpdate(const PeerUpdate& update, TimePoint now) {
  if (update.name == m_self) {
    Refute(update);
    return;
  }
  const auto found = m_peers.find(update.name);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  const bool is_newer =
      update.incarnation > peer.incarnation ||
      (update.incarnation == peer.incarnation && update.state > peer.state);
  if (!is_newer) {
    return;
  }
  SetState(update.name, &peer, update.state, update.incarnation, now);
  QueueUpdate(update);
}

void FailureDetector::Refute(const PeerUpdate& update) {
  if (update.state == PeerState::kAlive || update.incarnation < m_incarnation) {
    return;
  }
  m_incarnation = update.incarnation + 1;
  ++m_refutation_count;
  QueueUpdate({m_self, PeerState::kAlive, m_incarnation});
}

void FailureDetector::SetState(const std::string&,
                               Peer* peer,
                               PeerState state,
                               uint32_t incarnation,
                               TimePoint now) {
  const bool was_dead = peer->state == PeerState::kDead;
  const bool is_dead = state == PeerState::kDead;
  peer->state = state;
  peer->incarnation = incarnation;
  peer->suspect_until =
      state == PeerState::kSuspect ? now + kSuspicionTimeout : TimePoint::max();
  m_change_count += was_dead != is_dead ? 1 : 0;
}

void FailureDetector::QueueUpdate(const PeerUpdate& update) {
  m_pending_updates[update.name] = {update, TransmissionsFor(m_peers.size())};
}

OutgoingMessage FailureDetector::MakeMessage(const std::string& to,
                                             MessageType type,
                                             const std::string& target,
                                             uint32_t sequence) {
  return {to, {type, m_self, target, sequence, TakePendingUpdates(to)}};
}

// Updates that were sent the fewest times come first. A suspected peer is
// always told of its suspicion; PingOneDead does the same for dead peers.
std::vector<PeerUpdate> FailureDetector::TakePendingUpdates(
    const std::string& to) {
  std::vector<PendingUpdate*> pending;
  for (auto& [name, item] : m_pending_updates) {
    pending.push_back(&item);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const PendingUpdate* a, const PendingUpdate* b) {
                     return a->transmissions_left > b->transmissions_left;
                   });
  pending.resize(std::min(pending.size(), kMaxUpdatesPerMessage));
  std::vector<PeerUpdate> updates;
  for (PendingUpdate* item : pending) {
    updates.push_back(item->update);
    --item->transmissions_left;
  }
  const auto peer = m_peers.find(to);
  if (peer != m_peers.end() && peer->second.state == PeerState::kSuspect) {
    updates.push_back({to, PeerState::kSuspect, peer->second.incarnation});
  }
  std::erase_if(m_pending_updates, [](const auto& item) {
    return item.second.transmissions_left <= 0;
  });
  return updates;
}

std::vector<std::string> FailureDetector::DeadPeers() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : m_peers) {
    if (peer.state == PeerState::kDead) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace poplarsail::membership
