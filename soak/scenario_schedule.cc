// Draws what happens in a run from its seed.
#include <array>
#include <random>
#include <utility>

#include "soak/scenario.h"

namespace poplarsail::soak {

namespace {

using std::chrono::milliseconds;

// Distinguish the random numbers of these faults from those of others, whose
// schedules earlier seeds reproduce.
constexpr uint64_t kRestoreSeed = 0x726573746f7265;
constexpr uint64_t kSilenceSeed = 0x73696c656e6365;
constexpr uint64_t kConditionSeed = 0x7765617468;
constexpr uint64_t kOddEntrySeed = 0x6f646421;
constexpr uint64_t kEnvironmentSeed = 0x656e7669726f6e;
// The log of a daemon reaches a file size limit below this within a run.
constexpr uint64_t kMaxLogFileBytes = 8'192;
constexpr std::array<double, 3> kHandshakeLosses = {0, 0.0015, 0.01};
constexpr std::array<milliseconds, 3> kListAges = {
    milliseconds(0), milliseconds(1'000), milliseconds(3'000)};

}  // namespace

void Scenario::InjectFaults() {
  static constexpr std::array<Fault, 13> kFaults = {
      &Scenario::KillHost,
      &Scenario::PauseHost,
      &Scenario::RestartHost,
      &Scenario::ReloadHost,
      &Scenario::InjectStoreConnectionFault,
      &Scenario::InjectStoreFault,
      &Scenario::PartitionHostFromDomain,
      &Scenario::CrashUpstream,
      &Scenario::DrainUpstream,
      &Scenario::ReuseAddress,
      &Scenario::ScaleUpService,
      &Scenario::EvacuateDomain,
      &Scenario::AddOrRemoveListener};
  if (InjectDefectiveChange()) {
    return;
  }
  ScheduleOddEntries();
  if (m_options.is_planned_only) {
    return InjectPlannedWork();
  }
  // The schedule, with a seed for each fault that selects the affected host or
  // upstream, is drawn before any fault runs, so that a run's seed reproduces
  // it.
  milliseconds at{0};
  while (at < m_options.fault_time) {
    const Fault fault = kFaults[m_random() % kFaults.size()];
    const uint64_t fault_seed = m_random();
    ScheduleFault(at, fault, fault_seed);
    at += RandomDuration(150, 900);
  }
  ScheduleRestores();
  ScheduleStoreSilences();
}

void Scenario::InjectPlannedWork() {
  static constexpr std::array<Fault, 8> kWork = {
      &Scenario::RestartHost,         &Scenario::RestartHost,
      &Scenario::RestartHost,         &Scenario::AddOrRemoveListener,
      &Scenario::AddOrRemoveListener, &Scenario::DrainUpstream,
      &Scenario::EvacuateDomain,      &Scenario::ReloadHost};
  milliseconds at{0};
  while (at < m_options.fault_time) {
    const Fault work = kWork[m_random() % kWork.size()];
    ScheduleFault(at, work, m_random());
    at += RandomDuration(300, 900);
  }
}

void Scenario::ScheduleFault(milliseconds delay, Fault fault, uint64_t seed) {
  RunAfter(delay, [this, fault, seed]() {
    std::mt19937_64 saved_random =
        std::exchange(m_random, std::mt19937_64(seed));
    ++m_fault_count;
    (this->*fault)();
    m_random = saved_random;
  });
}

void Scenario::ScheduleRestores() {
  std::mt19937_64 random(m_options.seed ^ kRestoreSeed);
  SnapshotStore();
  for (uint64_t left = random() % 3; left > 0; --left) {
    const milliseconds at(random() % m_options.fault_time.count());
    RunAfter(at, [this]() {
      ++m_fault_count;
      RestoreStore();
    });
  }
}

void Scenario::ScheduleStoreSilences() {
  std::mt19937_64 random(m_options.seed ^ kSilenceSeed);
  for (uint64_t left = 1 + random() % 2; left > 0; --left) {
    const milliseconds at(random() % m_options.fault_time.count());
    ScheduleFault(at, &Scenario::SilenceStoreBetweenChanges, random());
  }
}

void Scenario::DrawConditions() {
  m_environment_random.seed(m_options.seed ^ kEnvironmentSeed);
  std::mt19937_64 random(m_options.seed ^ kConditionSeed);
  m_handshake_loss = kHandshakeLosses[random() % kHandshakeLosses.size()];
  m_list_age = kListAges[random() % kListAges.size()];
}

ProcessEnvironment Scenario::DrawEnvironment(
    const EntryProcessOptions& options) {
  ProcessEnvironment environment;
  // Half of the hosts keep their whole log.
  const uint64_t choice = m_environment_random() % 6;
  const uint64_t detail = m_environment_random();
  if (choice == 0) {
    m_log_readers.push_back(std::make_unique<LogReader>(
        &m_context, options.directory + "/" + options.name + ".log"));
    LogReader* reader = m_log_readers.back().get();
    environment.output = reader->writer();
    RunAfter(milliseconds(detail % m_options.fault_time.count()),
             [reader]() { reader->Close(); });
  } else if (choice == 1) {
    environment.limits = {{RLIMIT_FSIZE, detail % kMaxLogFileBytes}};
  } else if (choice == 2) {
    environment.has_closed_standard_streams = true;
  }
  return environment;
}

void Scenario::ScheduleOddEntries() {
  std::mt19937_64 random(m_options.seed ^ kOddEntrySeed);
  for (uint64_t left = 1 + random() % 3; left > 0; --left) {
    const milliseconds at(random() % m_options.fault_time.count());
    ScheduleFault(at, &Scenario::WriteOddEntry, random());
  }
}

}  // namespace poplarsail::soak
