#include "entry/state_follower.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "objects/object_store.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

std::string KindLabel(cluster_state::ObjectKind kind) {
  static constexpr std::array<const char*, cluster_state::kObjectKindCount> kLabels = {
      "configuration", "upstreams", "take-outs"};
  return kLabels[static_cast<size_t>(kind)];
}

}  // namespace

StateFollower::StateFollower(boost::asio::io_context* context,
                             StateStore* store,
                             RetryGate* gate,
                             cluster_state::ObjectKind kind,
                             cluster_state::ClusterState* cluster_state,
                             std::function<void()> changed)
    : m_store(store),
      m_gate(gate),
      m_kind(kind),
      m_belief(cluster_state),
      m_changed(std::move(changed)),
      m_timer(*context),
      m_random(std::random_device()()) {}

boost::asio::awaitable<void> StateFollower::Run() {
  while (true) {
    std::string failure;
    try {
      co_await FollowOnce();
      continue;
    } catch (const objects::CompactedError& error) {
      telemetry::Log(telemetry::LogLevel::kInfo, "state",
                     "history is gone, listing anew",
                     {{"kind", KindLabel(m_kind)}, {"reason", error.what()}});
      m_position = 0;
      continue;
    } catch (const objects::ObjectStoreError& error) {
      failure = error.what();
    }
    NoteFailure(failure.c_str());
    const auto doubled = kFirstRetryPause * (1 << std::min(m_failures, 10U));
    const auto longest =
        std::min<cluster_state::milliseconds>(doubled, kLongestRetryPause);
    const int64_t half = longest.count() / 2;
    const auto jitter = static_cast<int64_t>(m_random() % (half + 1));
    co_await m_gate->WaitToRetry(this, cluster_state::milliseconds(half + jitter));
  }
}

boost::asio::awaitable<void> StateFollower::FollowOnce() {
  if (m_position == 0) {
    const StateBatch batch = co_await m_store->List(m_kind);
    NoteSuccess();
    Apply(batch, true);
    m_position = batch.at;
    co_return;
  }
  const auto deadline = std::chrono::steady_clock::now() + kWatchWait;
  const StateBatch batch =
      co_await m_store->Watch(m_kind, m_position, deadline);
  NoteSuccess();
  Apply(batch, false);
  m_position = std::max(m_position, batch.at);
  co_await Pause(kWatchPause);
}

boost::asio::awaitable<void> StateFollower::Pause(cluster_state::milliseconds pause) {
  m_timer.expires_after(pause);
  boost::system::error_code cancelled;
  co_await m_timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
}

void StateFollower::Apply(const StateBatch& batch, bool is_list) {
  const auto now = std::chrono::steady_clock::now();
  const uint64_t before = m_belief->generation();
  if (is_list) {
    ApplyList(m_belief, m_kind, batch, now);
  } else {
    for (const BeliefEntry& entry : batch.entries) {
      std::visit([&](const auto& item) { m_belief->Apply(item, now); }, entry);
    }
    m_belief->MarkListed(m_kind, batch.at);
  }
  if (is_list || m_belief->generation() != before) {
    telemetry::Log(telemetry::LogLevel::kInfo, "state",
                   is_list ? "list taken" : "changes taken",
                   {{"kind", KindLabel(m_kind)},
                    {"objects", std::to_string(batch.entries.size())},
                    {"revision", std::to_string(batch.at)}});
    m_changed();
  }
}

void StateFollower::NoteFailure(const char* reason) {
  ++m_failures;
  if (m_failures == 1) {
    telemetry::Log(telemetry::LogLevel::kWarning, "state", "store lost",
                   {{"kind", KindLabel(m_kind)},
                    {"revision", std::to_string(m_position)},
                    {"reason", reason}});
  }
}

void StateFollower::NoteSuccess() {
  m_gate->NoteSuccess();
  if (m_failures == 0) {
    return;
  }
  telemetry::Log(
      telemetry::LogLevel::kInfo, "state", "store regained",
      {{"kind", KindLabel(m_kind)}, {"failures", std::to_string(m_failures)}});
  m_failures = 0;
  m_belief->OnStoreRecovered(std::chrono::steady_clock::now());
}

void ApplyList(cluster_state::ClusterState* cluster_state,
               cluster_state::ObjectKind kind,
               const StateBatch& batch,
               cluster_state::SteadyTime now) {
  const auto apply = [&]<typename Record>(const Record*) {
    std::vector<cluster_state::Versioned<Record>> entries;
    for (const BeliefEntry& entry : batch.entries) {
      if (const auto* typed = std::get_if<cluster_state::Versioned<Record>>(&entry)) {
        entries.push_back(*typed);
      }
    }
    cluster_state->ApplyList(kind, entries, batch.at, now);
  };
  switch (kind) {
    case cluster_state::ObjectKind::kConfiguration:
      return apply(static_cast<const cluster_state::Configuration*>(nullptr));
    case cluster_state::ObjectKind::kUpstreams:
      return apply(static_cast<const cluster_state::UpstreamRecord*>(nullptr));
    case cluster_state::ObjectKind::kEvacuations:
      return apply(static_cast<const cluster_state::Evacuation*>(nullptr));
  }
}

}  // namespace poplarsail::entry
