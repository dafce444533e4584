#include "entry/store_watcher.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "objects/object_store.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

std::string KindToLabel(cluster_state::ObjectKind kind) {
  static constexpr std::array<const char*, cluster_state::kObjectKindCount>
      kLabels = {"configuration", "upstreams", "take-outs"};
  return kLabels[static_cast<size_t>(kind)];
}

}  // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context* context,
                           StateStore* store,
                           RetryGate* gate,
                           VersionFloor* floor,
                           cluster_state::ObjectKind kind,
                           const WatchTiming& timing,
                           cluster_state::ClusterState* cluster_state,
                           std::function<void()> on_change)
    : m_store(store),
      m_gate(gate),
      m_floor(floor),
      m_kind(kind),
      m_timing(timing),
      m_cluster_state(cluster_state),
      m_on_change(std::move(on_change)),
      m_timer(*context),
      m_random(std::random_device()()),
      m_needs_latest_list(kind == kReferenceKind),
      m_last_response(std::chrono::steady_clock::now()) {}

std::string StoreWatcher::kind_label() const {
  return KindToLabel(m_kind);
}

boost::asio::awaitable<void> StoreWatcher::Run() {
  while (true) {
    std::optional<std::string> failure;
    try {
      co_await ListOrWatch();
      continue;
    } catch (const objects::CompactedError& error) {
      telemetry::Log(telemetry::LogLevel::kInfo, "state",
                     "history is gone, listing anew",
                     {{"kind", KindToLabel(m_kind)}, {"reason", error.what()}});
      RequireLatestList();
      ++m_lost_watches;
    } catch (const objects::ObjectStoreError& error) {
      failure = error.what();
    } catch (const std::exception& error) {
      // The daemon goes on with what it knows, whatever a response contains.
      failure = error.what();
      telemetry::Log(telemetry::LogLevel::kError, "state",
                     "response of the store can't be applied",
                     {{"kind", KindToLabel(m_kind)}, {"reason", *failure}});
    }
    if (!failure) {
      // The first list is due at once.
      if (m_lost_watches > 1) {
        co_await Sleep(RetryDelay(m_lost_watches - 1));
      }
      continue;
    }
    RecordFailure(failure->c_str());
    co_await m_gate->WaitToRetry(this, RetryDelay(m_failures));
  }
}

cluster_state::milliseconds StoreWatcher::RetryDelay(uint32_t failures) {
  const auto backoff = kInitialRetryDelay * (1 << std::min(failures, 10U));
  const auto max_delay =
      std::min<cluster_state::milliseconds>(backoff, kMaxRetryDelay);
  const int64_t half = max_delay.count() / 2;
  const auto jitter = static_cast<int64_t>(m_random() % (half + 1));
  return cluster_state::milliseconds(half + jitter);
}

boost::asio::awaitable<void> StoreWatcher::ListOrWatch() {
  if (m_watch_version.revision == 0) {
    co_await List();
    co_await WaitForFloor();
    co_return;
  }
  if (m_is_list_unverified && m_floor->IsKnown()) {
    m_is_list_unverified = false;
    if (m_floor->IsStale(m_watch_version)) {
      telemetry::Log(telemetry::LogLevel::kInfo, "state",
                     "list is stale, listing anew",
                     {{"kind", KindToLabel(m_kind)},
                      {"revision", std::to_string(m_watch_version.revision)}});
      m_needs_latest_list = true;
      co_await List();
    }
  }
  // While the store is lost, only a response shows that it is back: a watch
  // that waits for changes could delay that by the whole wait.
  m_call_start = std::chrono::steady_clock::now();
  const auto deadline =
      m_failures > 0 ? m_call_start : m_call_start + m_timing.wait;
  const StateBatch batch =
      co_await m_store->Watch(m_kind, m_watch_version.revision, deadline);
  RecordSuccess();
  m_lost_watches = 0;
  const uint64_t known_era = m_cluster_state->listed_version(m_kind).era;
  if (batch.version.era != m_watch_version.era ||
      batch.version.era != known_era) {
    telemetry::Log(telemetry::LogLevel::kWarning, "state",
                   "store was restored from a copy, listing anew",
                   {{"kind", KindToLabel(m_kind)},
                    {"era", std::to_string(batch.version.era)},
                    {"watched_era", std::to_string(m_watch_version.era)},
                    {"known_era", std::to_string(known_era)}});
    RequireLatestList();
    co_return;
  }
  Apply(batch, false);
  m_watch_version = std::max(m_watch_version, batch.version);
  co_await Sleep(m_timing.coalesce_delay);
}

boost::asio::awaitable<void> StoreWatcher::List() {
  const ReadFreshness freshness =
      m_needs_latest_list ? ReadFreshness::kLatest : ReadFreshness::kMayBeStale;
  m_call_start = std::chrono::steady_clock::now();
  const StateBatch batch = co_await m_store->List(m_kind, freshness);
  RecordSuccess();
  if (freshness == ReadFreshness::kLatest) {
    m_floor->Raise(batch.version);
  }
  Apply(batch, true);
  m_watch_version = batch.version;
  m_is_list_unverified = freshness == ReadFreshness::kMayBeStale;
  m_needs_latest_list = m_kind == kReferenceKind;
}

boost::asio::awaitable<void> StoreWatcher::WaitForFloor() {
  if (m_floor->IsKnown()) {
    co_return;
  }
  m_floor->NotifyWhenKnown([this]() { m_timer.cancel(); });
  co_await Sleep(m_timing.coalesce_delay);
}

boost::asio::awaitable<void> StoreWatcher::Sleep(
    cluster_state::milliseconds delay) {
  m_timer.expires_after(delay);
  boost::system::error_code cancelled;
  co_await m_timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
}

void StoreWatcher::Apply(const StateBatch& batch, bool is_list) {
  const auto now = std::chrono::steady_clock::now();
  const uint64_t generation_before = m_cluster_state->generation();
  if (is_list) {
    ApplyList(m_cluster_state, m_kind, batch, now);
  } else {
    for (const StateEntry& entry : batch.entries) {
      std::visit([&](const auto& item) { m_cluster_state->Apply(item, now); },
                 entry);
    }
    m_cluster_state->MarkListed(m_kind, batch.version);
  }
  if (is_list || m_cluster_state->generation() != generation_before) {
    telemetry::Log(telemetry::LogLevel::kInfo, "state",
                   is_list ? "list taken" : "changes taken",
                   {{"kind", KindToLabel(m_kind)},
                    {"objects", std::to_string(batch.entries.size())},
                    {"revision", std::to_string(batch.version.revision)},
                    {"era", std::to_string(batch.version.era)}});
    m_on_change();
  }
}

void StoreWatcher::RequireLatestList() {
  m_watch_version = {};
  m_needs_latest_list = true;
}

void StoreWatcher::RecordFailure(const char* reason) {
  ++m_failures;
  if (m_failures == 1) {
    const auto waited = std::chrono::duration_cast<cluster_state::milliseconds>(
        std::chrono::steady_clock::now() - m_call_start);
    telemetry::Log(telemetry::LogLevel::kWarning, "state", "store lost",
                   {{"kind", KindToLabel(m_kind)},
                    {"revision", std::to_string(m_watch_version.revision)},
                    {"waited_ms", std::to_string(waited.count())},
                    {"reason", reason}});
  }
}

void StoreWatcher::RecordSuccess() {
  m_last_response = std::chrono::steady_clock::now();
  m_gate->RecordSuccess();
  if (m_failures == 0) {
    return;
  }
  telemetry::Log(telemetry::LogLevel::kInfo, "state", "store regained",
                 {{"kind", KindToLabel(m_kind)},
                  {"failures", std::to_string(m_failures)}});
  m_failures = 0;
  m_cluster_state->OnStoreRecovered(std::chrono::steady_clock::now());
}

void ApplyList(cluster_state::ClusterState* cluster_state,
               cluster_state::ObjectKind kind,
               const StateBatch& batch,
               cluster_state::SteadyTime now) {
  const auto apply = [&]<typename Record>(const Record*) {
    std::vector<cluster_state::Versioned<Record>> entries;
    for (const StateEntry& entry : batch.entries) {
      if (const auto* typed =
              std::get_if<cluster_state::Versioned<Record>>(&entry)) {
        entries.push_back(*typed);
      }
    }
    cluster_state->ApplyList(kind, entries, batch.version, now);
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
