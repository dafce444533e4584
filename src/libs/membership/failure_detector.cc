#include "membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace poplarsail::membership {

namespace {

constexpr std::chrono::milliseconds kPeriod{500};
constexpr std::chrono::milliseconds kPingTimeout{200};
constexpr std::chrono::milliseconds kSuspicionTime{1'500};
constexpr size_t kHelpers = 2;
constexpr size_t kMaxNewsPerMessage = 6;
constexpr int kTellingsFactor = 3;
// One host that is dead is pinged each so many periods, to learn of its return.
constexpr uint64_t kPeriodsPerDeadPing = 2;

int TellingsFor(size_t peer_count) {
  return kTellingsFactor * static_cast<int>(std::bit_width(peer_count + 1));
}

}  // namespace

FailureDetector::FailureDetector(std::string self, uint64_t seed, TimePoint now)
    : m_self(std::move(self)), m_random(seed), m_period_ends_at(now) {
  // Hosts that start together do not ping at the same moment.
  std::uniform_int_distribution<int64_t> offset(0, kPeriod.count());
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
  std::erase_if(m_order, [this](const std::string& name) {
    return !m_peers.contains(name);
  });
  std::erase_if(m_news, [this](const auto& item) {
    return item.first != m_self && !m_peers.contains(item.first);
  });
  ++m_change_count;
}

std::vector<OutgoingMessage> FailureDetector::Tick(TimePoint now) {
  std::vector<OutgoingMessage> out;
  for (auto& [name, peer] : m_peers) {
    if (peer.state == PeerState::kSuspect && now >= peer.suspect_until) {
      SetState(name, &peer, PeerState::kDead, peer.incarnation, now);
      Tell({name, PeerState::kDead, peer.incarnation});
    }
  }
  if (now >= m_period_ends_at) {
    EndPeriod(now);
    StartPeriod(now, &out);
  } else if (now >= m_ask_helpers_at && !m_target_answered &&
             !m_helpers_asked) {
    AskHelpers(&out);
  }
  return out;
}

void FailureDetector::EndPeriod(TimePoint now) {
  std::erase_if(m_errands, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
  const auto target = m_peers.find(m_target);
  if (m_target_answered || target == m_peers.end() ||
      target->second.state != PeerState::kAlive) {
    return;
  }
  Peer& peer = target->second;
  SetState(m_target, &peer, PeerState::kSuspect, peer.incarnation, now);
  Tell({m_target, PeerState::kSuspect, peer.incarnation});
}

void FailureDetector::StartPeriod(TimePoint now,
                                  std::vector<OutgoingMessage>* out) {
  m_period_ends_at = now + kPeriod;
  m_ask_helpers_at = now + kPingTimeout;
  m_target = NextTarget();
  m_target_answered = m_target.empty();
  m_helpers_asked = m_target.empty();
  if (!m_target.empty()) {
    m_target_sequence = ++m_sequence;
    out->push_back(
        Compose(m_target, MessageType::kPing, "", m_target_sequence));
  }
  if (++m_period % kPeriodsPerDeadPing == 0) {
    PingOneDead(out);
  }
}

void FailureDetector::AskHelpers(std::vector<OutgoingMessage>* out) {
  m_helpers_asked = true;
  for (const std::string& helper : PickHelpers(m_target)) {
    out->push_back(Compose(helper, MessageType::kPingRequest, m_target,
                           m_target_sequence));
  }
}

// The ping carries what is said of the dead host, so that it can refute.
void FailureDetector::PingOneDead(std::vector<OutgoingMessage>* out) {
  const std::vector<std::string> dead = DeadPeers();
  if (dead.empty()) {
    return;
  }
  const std::string& name = dead[m_random() % dead.size()];
  OutgoingMessage ping = Compose(name, MessageType::kPing, "", ++m_sequence);
  ping.message.updates.push_back(
      {name, PeerState::kDead, m_peers.at(name).incarnation});
  out->push_back(std::move(ping));
}

// Each host is pinged once in a random order before any is pinged again.
std::string FailureDetector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!m_order.empty()) {
      const std::string name = m_order.back();
      m_order.pop_back();
      if (m_peers.at(name).state != PeerState::kDead) {
        return name;
      }
    }
    for (const auto& [name, peer] : m_peers) {
      m_order.push_back(name);
    }
    std::shuffle(m_order.begin(), m_order.end(), m_random);
  }
  return "";
}

std::vector<std::string> FailureDetector::PickHelpers(
    const std::string& target) {
  std::vector<std::string> candidates;
  for (const auto& [name, peer] : m_peers) {
    if (name != target && peer.state == PeerState::kAlive) {
      candidates.push_back(name);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), m_random);
  candidates.resize(std::min(candidates.size(), kHelpers));
  return candidates;
}

std::vector<OutgoingMessage> FailureDetector::Receive(const Message& message,
                                                      TimePoint now) {
  std::vector<OutgoingMessage> out;
  if (!m_peers.contains(message.from)) {
    // The platform's list may not name a new host yet: answers it, and no more.
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
          Compose(message.from, MessageType::kAck, "", message.sequence));
      break;
    case MessageType::kPingRequest: {
      if (!m_peers.contains(message.target)) {
        break;
      }
      const uint32_t sequence = ++m_sequence;
      m_errands[sequence] = {message.from, message.sequence, now + kPeriod};
      out.push_back(Compose(message.target, MessageType::kPing, "", sequence));
      break;
    }
    case MessageType::kAck: {
      if (message.sequence == m_target_sequence &&
          (message.from == m_target || message.target == m_target)) {
        m_target_answered = true;
      }
      const auto errand = m_errands.find(message.sequence);
      if (errand != m_errands.end()) {
        out.push_back(Compose(errand->second.asked_by, MessageType::kAck,
                              message.from, errand->second.sequence));
        m_errands.erase(errand);
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
  Tell(update);
}

void FailureDetector::Refute(const PeerUpdate& update) {
  if (update.state == PeerState::kAlive || update.incarnation < m_incarnation) {
    return;
  }
  m_incarnation = update.incarnation + 1;
  ++m_refutation_count;
  Tell({m_self, PeerState::kAlive, m_incarnation});
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
      state == PeerState::kSuspect ? now + kSuspicionTime : TimePoint::max();
  m_change_count += was_dead != is_dead ? 1 : 0;
}

void FailureDetector::Tell(const PeerUpdate& update) {
  m_news[update.name] = {update, TellingsFor(m_peers.size())};
}

OutgoingMessage FailureDetector::Compose(const std::string& to,
                                         MessageType type,
                                         const std::string& target,
                                         uint32_t sequence) {
  return {to, {type, m_self, target, sequence, TakeNews(to)}};
}

// The news that were told least go first. A suspect or dead host is always told
// what is said of it.
std::vector<PeerUpdate> FailureDetector::TakeNews(const std::string& to) {
  std::vector<News*> news;
  for (auto& [name, item] : m_news) {
    news.push_back(&item);
  }
  std::stable_sort(news.begin(), news.end(), [](const News* a, const News* b) {
    return a->tellings_left > b->tellings_left;
  });
  news.resize(std::min(news.size(), kMaxNewsPerMessage));
  std::vector<PeerUpdate> updates;
  for (News* item : news) {
    updates.push_back(item->update);
    --item->tellings_left;
  }
  const auto peer = m_peers.find(to);
  if (peer != m_peers.end() && peer->second.state == PeerState::kSuspect) {
    updates.push_back({to, PeerState::kSuspect, peer->second.incarnation});
  }
  std::erase_if(
      m_news, [](const auto& item) { return item.second.tellings_left <= 0; });
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
