// The cases of this review. Usage: rig CASE PROGRAM RECORD TROUBLE, with
// TROUBLE 1 or 0. Exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rig.h"

namespace review {

namespace {

// Routes: an address of the platform and two ports of it.
constexpr uint32_t kRouteIp = 0xc6120001;
constexpr Address kTallyRoute{kRouteIp, 8'443};
constexpr Address kArchiveRoute{kRouteIp, 8'080};
constexpr uint16_t kFirstAddedPort = 9'000;
const std::array<std::string, 3> kZones = {"regina", "saskatoon", "brandon"};

struct Verdict {
  std::string rule;
  int broken = 0;
};

std::string Variable(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

// Opens `per_s` flows a second from the zone's consumers until the case ends.
void Generate(Rig* rig,
              const std::string& zone,
              const FlowPlan& plan,
              int per_s) {
  rig->OpenFlow(zone, plan, nullptr);
  rig->After(milliseconds(1'000 / per_s),
             [rig, zone, plan, per_s]() { Generate(rig, zone, plan, per_s); });
}

// Keeps one flow of many requests open: a new one follows each that ends.
void KeepOpen(Rig* rig, const std::string& zone, const FlowPlan& plan) {
  rig->OpenFlow(zone, plan, [rig, zone, plan](const FlowId&, FlowEnd) {
    rig->After(milliseconds(50),
               [rig, zone, plan]() { KeepOpen(rig, zone, plan); });
  });
}

// Adds hosts, the service "tally" and its route, and writes the desired state.
void SetUpTally(Rig* rig,
                int hosts_per_zone,
                int targets_per_zone,
                double cold_per_s = 0) {
  for (const std::string& zone : kZones) {
    rig->AddHosts(zone, hosts_per_zone, 1);
    for (int i = 0; i < targets_per_zone; ++i) {
      rig->AddTarget("tally", zone);
    }
  }
  rig->services = {{"tally", cold_per_s}};
  rig->routes = {{"tally", kTallyRoute}};
  rig->WriteConfig();
}

void StopChecks(Rig* rig) {
  rig->on_opening = [](const Target&, const FlowId&, const std::string&, bool) {
  };
  rig->on_reset = [](const AcceptedReset&) {};
}

// Counts openings that reach a target later than `bound` after `acked`, sent on
// by hosts in touch.
Target::OpeningHook LateOpenings(
    Rig* rig,
    Verdict* verdict,
    milliseconds bound,
    std::function<std::optional<Clock::time_point>(const Target&)> acked) {
  return [rig, verdict, bound, acked = std::move(acked)](
             const Target& target, const FlowId& flow,
             const std::string& daemon, bool) {
    const auto since = acked(target);
    const Rig::Host* host = rig->FindHost(daemon);
    if (since && host != nullptr && rig->IsInTouch(*host) &&
        Clock::now() - *since > bound) {
      ++verdict->broken;
      rig->Log(verdict->rule + " broken: " + ToText(flow) + " was opened at " +
               target.name() + " by " + host->name);
    }
  };
}

// Counts resets of open flows that their target, which lives, did not send.
std::function<void(const AcceptedReset&)> ForeignResets(Rig* rig,
                                                        Verdict* verdict) {
  return [rig, verdict](const AcceptedReset& reset) {
    for (const auto& target : rig->targets()) {
      const bool is_own =
          !reset.is_from_system &&
          reset.sender == target->options().address.address().to_string() &&
          reset.sender_port == target->options().address.port();
      if (reset.was_open && !is_own && target->HasOpenFlow(reset.flow)) {
        ++verdict->broken;
        rig->Log("FLOW broken: " + ToText(reset.flow) +
                 " was reset, its target " + target->name() +
                 " lives and holds it");
      }
    }
  };
}

// Kills all processes, and returns the share of the requests that are served
// later than the recovery bound after they are back.
double ServedAfterLossOfAll(Rig* rig) {
  constexpr milliseconds kRecoveryBound{12'000};
  for (Rig::Host& host : rig->hosts()) {
    rig->Kill(&host);
  }
  rig->RunFor(rig->restart_delay + kRecoveryBound);
  const auto served = static_cast<double>(rig->served);
  const auto unserved = static_cast<double>(rig->unserved);
  rig->RunFor(milliseconds(4'000));
  const double added = static_cast<double>(rig->served) - served;
  const double all = added + static_cast<double>(rig->unserved) - unserved;
  return all == 0 ? 0 : added / all;
}

// A small deployment with two services, in traffic until all hosts are in
// touch.
void StartTwoServices(Rig* rig) {
  SetUpTally(rig, 2, 2);
  for (const std::string& zone : kZones) {
    rig->AddTarget("archive", zone);
  }
  rig->services.push_back({"archive"});
  rig->routes.push_back({"archive", kArchiveRoute, "download"});
  rig->WriteConfig();
  rig->StartHosts();
  for (const std::string& zone : kZones) {
    Generate(rig, zone, {kTallyRoute}, 15);
    Generate(rig, zone, {kArchiveRoute}, 5);
  }
  rig->RunFor(kStableWindow + milliseconds(1'000));
}

// Another writer's entry holds bytes that can't be read; then a target drains.
// VARIANT selects what is unreadable: "byte" is no UTF-8, "escape" is half of a
// character, "number" is out of range; the last two are valid JSON. With
// KILL_ALL=1 all processes are killed afterwards, and RECOVER is checked too.
Verdict RunUnreadableEntry(Rig* rig, bool has_trouble) {
  Verdict verdict{"DRAIN"};
  StartTwoServices(rig);
  if (has_trouble) {
    const std::string variant = Variable("VARIANT", "byte");
    const std::string version = variant == "byte"     ? "\"v\xff\""
                                : variant == "escape" ? R"("v\ud83d")"
                                                      : "1e400";
    rig->store().Put("servers", "i-00c0ffee",
                     R"({"service":"tally","version":)" + version + "}");
    rig->Log("store: servers/i-00c0ffee by another writer, " + variant);
  }
  rig->RunFor(milliseconds(1'000));
  rig->AddTarget("tally", kZones[0]);
  const Target* leaving = rig->targets().front().get();
  rig->WriteEntry(*leaving, "draining");
  const auto acked = Clock::now();
  rig->on_opening = LateOpenings(
      rig, &verdict, kDrainBound, [leaving, acked](const Target& target) {
        return &target == leaving ? std::optional(acked) : std::nullopt;
      });
  rig->RunFor(kDrainBound + milliseconds(6'000));
  StopChecks(rig);
  if (Variable("KILL_ALL", "0") == "1") {
    const double share = ServedAfterLossOfAll(rig);
    const bool is_broken = share < 0.25;
    rig->Log("RECOVER " + std::string(is_broken ? "broken" : "held") +
             ": share served " + std::to_string(share));
    std::printf("RECOVER %s, share served %.2f\n",
                is_broken ? "broken" : "held", share);
  }
  return verdict;
}

// Another writer's entry has a field of another type: arrays within arrays, as
// many as an object of the store holds.
Verdict RunNestedEntry(Rig* rig, bool has_trouble) {
  // 1,000,000 bytes of the 1,048,576 that `max_value_bytes` allows.
  constexpr size_t kDepth = 500'000;
  constexpr int kMaxOwnEnds = 3;
  Verdict verdict{"FAULT"};
  StartTwoServices(rig);
  if (has_trouble) {
    rig->store().Put("servers", "i-00c0ffee",
                     R"({"service":"tally","version":)" +
                         std::string(kDepth, '[') + std::string(kDepth, ']') +
                         "}");
    rig->Log("store: servers/i-00c0ffee by another writer");
  }
  rig->RunFor(milliseconds(10'000));
  for (const Rig::Host& host : rig->hosts()) {
    rig->Log(host.name + " ended by itself " + std::to_string(host.own_ends) +
             " times");
    verdict.broken += host.own_ends >= kMaxOwnEnds ? 1 : 0;
  }
  // A tenth of the machines, but two at least.
  verdict.broken = verdict.broken >= 2 ? verdict.broken : 0;
  return verdict;
}

// The hosts of a zone are stopped and started in turn; shortly before, a route
// is added and used. Lists with serializable=1 are 3 s old all the time.
Verdict RunStaleStart(Rig* rig, bool has_trouble) {
  constexpr milliseconds kGap{1'300};
  Verdict verdict{"FLOW"};
  SetUpTally(rig, 3, 4);
  rig->store().set_list_age(milliseconds(3'000));
  rig->StartHosts();
  for (const std::string& zone : kZones) {
    for (int i = 0; i < 10; ++i) {
      KeepOpen(rig, zone, {kTallyRoute, 50, milliseconds(100)});
    }
  }
  rig->on_reset = ForeignResets(rig, &verdict);
  rig->RunFor(kStableWindow + milliseconds(1'000));
  constexpr size_t kRounds = 6;
  for (size_t round = 0; round < kRounds; ++round) {
    const size_t number = round % kZones.size();
    const std::string& zone = kZones[number];
    for (size_t host = 3 * number; host < 3 * number + 2; ++host) {
      if (has_trouble) {
        rig->Terminate(&rig->hosts()[host]);
      }
      rig->RunFor(kGap);
    }
    rig->RunFor(kGap);
    const Address added{kRouteIp,
                        static_cast<uint16_t>(kFirstAddedPort + round)};
    rig->routes.push_back({"tally", added});
    rig->WriteConfig();
    rig->RunFor(milliseconds(500));
    for (int flow = 0; flow < 60; ++flow) {
      rig->After(milliseconds(7 * flow), [rig, zone, added]() {
        rig->OpenFlow(zone, {added, 60, milliseconds(50)}, nullptr);
      });
    }
    rig->RunFor(milliseconds(4'000));
  }
  StopChecks(rig);
  return verdict;
}

// All hosts are stopped and started in turn while consumers use long flows. The
// network loses 0.15 % of the targets' datagrams all the time.
Verdict RunLostAnswer(Rig* rig, bool has_trouble) {
  constexpr int kRounds = 4;
  constexpr milliseconds kGap{1'300};
  Verdict verdict{"FLOW"};
  rig->loss = 0.0015;
  SetUpTally(rig, 3, 4);
  rig->StartHosts();
  for (const std::string& zone : kZones) {
    Generate(rig, zone, {kTallyRoute, 10, milliseconds(900)}, 40);
  }
  rig->on_reset = ForeignResets(rig, &verdict);
  rig->RunFor(kStableWindow);
  for (int round = 0; round < kRounds; ++round) {
    for (Rig::Host& host : rig->hosts()) {
      if (has_trouble) {
        rig->Terminate(&host);
      }
      rig->RunFor(kGap);
    }
    rig->RunFor(milliseconds(7'000));
  }
  StopChecks(rig);
  return verdict;
}

// Counts the openings that a cold target gets within a second.
class ColdMeter {
 public:
  explicit ColdMeter(double cold_per_s) : m_limit(cold_per_s * 1.5 + 5) {}

  void SetCold(const Target& target, milliseconds time) {
    m_cold_until[&target] = Clock::now() + time;
    m_openings[&target].clear();
  }

  // Returns how many were sent and arrived within the last second, if they are
  // too many.
  size_t Add(const Target& target, Clock::time_point sent) {
    const auto now = Clock::now();
    const auto cold = m_cold_until.find(&target);
    if (cold == m_cold_until.end() || now >= cold->second) {
      return 0;
    }
    std::deque<Clock::time_point>& openings = m_openings[&target];
    openings.push_back(sent);
    const auto count = static_cast<size_t>(std::count_if(
        openings.begin(), openings.end(),
        [now](const auto& at) { return now - at < milliseconds(1'000); }));
    m_most = std::max(m_most, count);
    return static_cast<double>(count) > m_limit ? count : 0;
  }

  size_t most() const { return m_most; }

 private:
  double m_limit;
  size_t m_most = 0;
  std::map<const Target*, Clock::time_point> m_cold_until;
  std::map<const Target*, std::deque<Clock::time_point>> m_openings;
};

// Writes the target's entry with each heartbeat while it is cold.
void WriteColdEntry(Rig* rig, const Target* target, int64_t left_ms) {
  constexpr int64_t kHeartbeatMs = 770;
  rig->WriteEntry(*target, "ready", std::max<int64_t>(left_ms, 0));
  if (left_ms > 0) {
    rig->After(milliseconds(kHeartbeatMs), [rig, target, left_ms]() {
      WriteColdEntry(rig, target, left_ms - kHeartbeatMs);
    });
  }
}

// A zone is taken out, its targets start again there, and it is taken back
// 50 ms after the last of them; without trouble, 700 ms after it.
Verdict RunColdReturn(Rig* rig, bool has_trouble) {
  constexpr double kColdPerS = 10;
  constexpr milliseconds kColdTime{2'000};
  constexpr milliseconds kStep{50};
  const milliseconds pause = has_trouble ? kStep : milliseconds(700);
  Verdict verdict{"FAILBACK"};
  SetUpTally(rig, 3, 2, kColdPerS);
  rig->StartHosts();
  for (const std::string& zone : kZones) {
    Generate(rig, zone, {kTallyRoute, 5, milliseconds(100)}, 60);
  }
  rig->RunFor(kStableWindow + milliseconds(2'000));
  ColdMeter meter(kColdPerS);
  rig->on_opening = [rig, &meter, &verdict](const Target& target,
                                            const FlowId& flow,
                                            const std::string& daemon, bool) {
    const size_t count = meter.Add(target, rig->OpenedAt(flow));
    if (count > 0) {
      ++verdict.broken;
      rig->Log("FAILBACK broken: " + target.name() + " got " +
               std::to_string(count) + " within a second, the last is " +
               ToText(flow) + " from " + daemon);
    }
  };
  const std::string& zone = kZones[1];
  for (int round = 0; round < 3; ++round) {
    rig->store().Put("evacuations", zone, "{}");
    rig->Log("store: evacuations/" + zone + " written");
    rig->RunFor(milliseconds(6'000));
    for (const auto& target : rig->targets()) {
      if (target->options().zone == zone) {
        rig->RunFor(kStep);
        target->Restart();
        meter.SetCold(*target, kColdTime);
        WriteColdEntry(rig, target.get(), kColdTime.count());
      }
    }
    rig->RunFor(pause);
    rig->store().Remove("evacuations", zone);
    rig->Log("store: evacuations/" + zone + " removed");
    rig->RunFor(milliseconds(4'000));
  }
  StopChecks(rig);
  rig->Log("most openings of a cold target within a second: " +
           std::to_string(meter.most()));
  return verdict;
}

// A zone is taken out, the target that is left is full, and the store cuts
// watches that are waiting. Not handed in as a case.
Verdict RunCutWatch(Rig* rig, bool has_trouble) {
  constexpr size_t kMaxConns = 30;
  Verdict verdict{"EVAC"};
  SetUpTally(rig, 2, 2);
  rig->AddTarget("archive", kZones[0], "ready", 0, kMaxConns);
  rig->AddTarget("archive", kZones[1], "ready", 0, kMaxConns);
  rig->services.push_back({"archive", 0, kMaxConns});
  rig->routes.push_back({"archive", kArchiveRoute});
  rig->WriteConfig();
  rig->StartHosts();
  for (const std::string& zone : kZones) {
    Generate(rig, zone, {kTallyRoute}, 10);
    // More long flows than one target holds.
    Generate(rig, zone, {kArchiveRoute, 15, milliseconds(200)}, 10);
  }
  rig->RunFor(kStableWindow + milliseconds(1'000));
  rig->store().Put("evacuations", kZones[0], "{}");
  rig->Log("store: evacuations/" + kZones[0] + " written");
  const auto acked = Clock::now();
  rig->on_opening = LateOpenings(
      rig, &verdict, kEvacuationBound, [acked](const Target& target) {
        return target.options().zone == kZones[0] ? std::optional(acked)
                                                  : std::nullopt;
      });
  rig->RunFor(kEvacuationBound + milliseconds(1'000));
  for (int i = 0; i < 15; ++i) {
    if (has_trouble) {
      const char* kind = i % 2 == 0 ? "config" : "servers";
      const size_t count = rig->store().CutWatches(kind);
      rig->Log("store: cut " + std::to_string(count) + " watches of " + kind);
    }
    rig->RunFor(milliseconds(1'070));
  }
  StopChecks(rig);
  return verdict;
}

// Targets are replaced; all reads with serializable=1 show data that is 3 s
// old. Not handed in as a case.
Verdict RunOldReads(Rig* rig, bool has_trouble) {
  constexpr milliseconds kAge{3'000};
  Verdict verdict{"DRAIN"};
  SetUpTally(rig, 2, 3);
  if (has_trouble) {
    rig->store().set_list_age(kAge);
    rig->store().set_watch_age(kAge);
  }
  rig->StartHosts();
  for (const std::string& zone : kZones) {
    Generate(rig, zone, {kTallyRoute, 3, milliseconds(50)}, 60);
  }
  rig->RunFor(kStableWindow + milliseconds(4'000));
  std::map<const Target*, Clock::time_point> drained;
  rig->on_opening = LateOpenings(
      rig, &verdict, kDrainBound, [&drained](const Target& target) {
        const auto found = drained.find(&target);
        return found == drained.end() ? std::nullopt
                                      : std::optional(found->second);
      });
  for (size_t round = 0; round < 6; ++round) {
    const size_t zone = round % kZones.size();
    rig->AddTarget("tally", kZones[zone]);
    rig->RunFor(milliseconds(100));
    const Target* leaving = rig->targets()[3 * zone + round / 3].get();
    rig->WriteEntry(*leaving, "draining");
    drained[leaving] = Clock::now();
    rig->RunFor(milliseconds(5'130));
  }
  StopChecks(rig);
  return verdict;
}

using Case = std::function<Verdict(Rig*, bool)>;

const std::map<std::string, Case>& Cases() {
  static const std::map<std::string, Case> cases = {
      {"unreadable-entry", RunUnreadableEntry},
      {"nested-entry", RunNestedEntry},
      {"stale-start", RunStaleStart},
      {"lost-answer", RunLostAnswer},
      {"cold-return", RunColdReturn},
      {"cut-watch", RunCutWatch},
      {"old-reads", RunOldReads},
  };
  return cases;
}

int Main(int argc, char** argv) {
  const auto chosen = argc == 5 ? Cases().find(argv[1]) : Cases().end();
  if (chosen == Cases().end()) {
    std::fprintf(stderr, "usage: rig CASE PROGRAM RECORD TROUBLE\n");
    return 2;
  }
  try {
    Rig rig(argv[2], argv[3]);
    const Verdict verdict = chosen->second(&rig, std::string(argv[4]) != "0");
    const std::string summary =
        verdict.rule + (verdict.broken > 0 ? " broken" : " held") + ", " +
        std::to_string(verdict.broken) + " times; flows served " +
        std::to_string(rig.served) + ", not served " +
        std::to_string(rig.unserved);
    rig.Log(summary);
    std::printf("%s: %s\n", argv[1], summary.c_str());
    return verdict.broken > 0 ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv);
}
