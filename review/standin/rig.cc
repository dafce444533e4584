#include "rig.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <utility>

namespace review {

namespace {

// Offsets of the ports of an entry host from the first port of the run.
constexpr uint16_t kReadyOffset = 1;
constexpr uint16_t kControlOffset = 2;
constexpr uint16_t kFindingsOffset = 3;
constexpr uint16_t kMetricsOffset = 4;
constexpr uint16_t kStoreOffset = 5;
constexpr uint16_t kTargetOffset = 10;
// The routers check readiness twice a second.
constexpr milliseconds kProbeInterval{500};
constexpr milliseconds kSuperviseInterval{10};
constexpr milliseconds kStartLimit{15'000};
constexpr int kMaxMisses = 2;

}  // namespace

std::string ToText(uint32_t ip) {
  return boost::asio::ip::address_v4(ip).to_string();
}

std::string ToText(const FlowId& flow) {
  return ToText(flow.consumer.ip) + ":" + std::to_string(flow.consumer.port) +
         ">" + ToText(flow.route.ip) + ":" + std::to_string(flow.route.port);
}

Rig::Rig(std::string program, const std::string& record)
    : m_program(std::move(program)), m_record(record) {
  std::array<char, 64> directory{};
  std::snprintf(directory.data(), directory.size(), "/tmp/review-XXXXXX");
  if (!m_record || ::mkdtemp(directory.data()) == nullptr) {
    throw SetupError("no record or temporary folder");
  }
  m_directory = directory.data();
  if (::access(m_program.c_str(), X_OK) != 0) {
    throw SetupError("the program of the deploy file is not built");
  }
  ChooseNetwork();
  // Unwinds, so that the processes end with this one.
  m_signals.async_wait([](const boost::system::error_code& error, int) {
    if (!error) {
      throw SetupError("stopped by a signal");
    }
  });
  m_store = std::make_unique<MetadataStore>(
      &m_context, Tcp::endpoint(boost::asio::ip::make_address_v4(Ip(4, 1)),
                                static_cast<uint16_t>(m_port + kStoreOffset)));
}

Rig::~Rig() {
  for (Host& host : m_hosts) {
    if (host.pid > 0) {
      ::kill(host.pid, SIGKILL);
      ::waitpid(host.pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_directory, ignored);
  }
}

void Rig::ChooseNetwork() {
  for (int attempt = 0; attempt < 50; ++attempt) {
    m_network = 20 + static_cast<int>(m_random() % 220);
    m_port = static_cast<uint16_t>(12'000 + m_random() % 15'000);
    try {
      for (const int group : {1, 2, 3, 4}) {
        const auto ip = boost::asio::ip::make_address_v4(Ip(group, 1));
        for (uint16_t offset = 0; offset <= kTargetOffset; ++offset) {
          const auto port = static_cast<uint16_t>(m_port + offset);
          const Udp::socket udp(m_context, Udp::endpoint(ip, port));
          const Tcp::acceptor tcp(m_context, Tcp::endpoint(ip, port));
        }
      }
      m_next_target_port = static_cast<uint16_t>(m_port + kTargetOffset);
      return;
    } catch (const boost::system::system_error&) {
      continue;
    }
  }
  throw SetupError("no free ports");
}

std::string Rig::Ip(int group, int number) const {
  return "127." + std::to_string(m_network) + "." + std::to_string(group) +
         "." + std::to_string(number);
}

void Rig::AddHosts(const std::string& zone, int count, int seeds) {
  for (int i = 1; i <= count; ++i) {
    Host host;
    host.name = "front-" + zone + "-" + std::to_string(i);
    host.zone = zone;
    host.ip = boost::asio::ip::make_address_v4(
        Ip(1, static_cast<int>(m_hosts.size()) + 1));
    host.is_seed = i <= seeds;
    m_hosts.push_back(host);
  }
  if (m_consumers.contains(zone)) {
    return;
  }
  Consumer::Hooks hooks;
  hooks.route = [this, zone](const FlowId& flow) { return Route(zone, flow); };
  hooks.on_reset = [this](const AcceptedReset& reset) {
    Log("flow " + ToText(reset.flow) + " reset by " + reset.sender +
        (reset.is_from_system ? " (system)" : " (target)") +
        (reset.was_open ? ", was open" : ", was not open"));
    on_reset(reset);
  };
  hooks.on_event = [this](const FlowId& flow, const std::string& event) {
    Log("flow " + ToText(flow) + " " + event);
  };
  hooks.on_open = [this](const FlowId& flow) {
    m_opened[flow] = Clock::now();
    Log("flow " + ToText(flow) + " SYN sent");
  };
  m_consumers[zone] = std::make_unique<Consumer>(
      &m_context,
      Udp::endpoint(boost::asio::ip::make_address_v4(
                        Ip(2, static_cast<int>(m_consumers.size()) + 1)),
                    m_port),
      m_random(), hooks);
}

// What platform/settings.ini.in yields for a machine of a small deployment.
void Rig::WriteSettings(const Host& host) const {
  const std::string ip = host.ip.to_string();
  const auto port = [this](uint16_t offset) {
    return std::to_string(m_port + offset);
  };
  std::string seeds;
  for (const Host& seed : m_hosts) {
    if (seed.is_seed) {
      seeds += seeds.empty() ? "" : ",";
      seeds += seed.ip.to_string() + ":" + port(kControlOffset);
    }
  }
  std::ofstream file(m_directory + "/" + host.name + ".conf");
  file << "[host]\nname = " << host.name << "\nfailure_domain = " << host.zone
       << "\ncpu_share = 0.25\n[packets]\nendpoint = " << ip << ":" << m_port
       << "\n[readiness]\nendpoint = " << ip << ":" << port(kReadyOffset)
       << "\n[peers]\nendpoint = " << ip << ":" << port(kControlOffset)
       << "\nfindings_port = " << port(kFindingsOffset)
       << (seeds.empty() ? "" : "\nseeds = " + seeds)
       << "\n[store]\nendpoint = " << Ip(4, 1) << ":" << port(kStoreOffset)
       << "\ndetect_silence_ms = 4000\nconfiguration_ms = 3000"
       << "\ndrain_ms = 3000\nevacuation_ms = 5000\n[metrics]\nport = "
       << port(kMetricsOffset) << "\n";
}

void Rig::StartHost(Host* host) {
  WriteSettings(*host);
  const std::string settings = m_directory + "/" + host->name + ".conf";
  const std::string log = m_directory + "/" + host->name + ".log";
  const std::string boot = "POPLARSAIL_BOOT=" + settings;
  const char* path = ::getenv("PATH");
  const std::string path_entry =
      std::string("PATH=") + (path == nullptr ? "" : path);
  std::array<char*, 5> arguments = {
      m_program.data(), const_cast<char*>("serve"),
      const_cast<char*>("--settings"), const_cast<char*>(settings.c_str()),
      nullptr};
  std::array<char*, 3> environment = {const_cast<char*>(boot.c_str()),
                                      const_cast<char*>(path_entry.c_str()),
                                      nullptr};
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      ::posix_spawn(&host->pid, m_program.c_str(), &actions, nullptr,
                    arguments.data(), environment.data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    host->pid = 0;
    throw SetupError("a host can't be started");
  }
  host->disturbed = Clock::now();
  Log("host " + host->name + " " + host->ip.to_string() + " started");
}

void Rig::StartHosts() {
  m_store->Open();
  for (Host& host : m_hosts) {
    StartHost(&host);
  }
  Supervise();
  ProbeAll();
  const auto limit = Clock::now() + kStartLimit;
  const auto is_used = [](const Host& host) { return host.is_in_rotation; };
  while (!std::all_of(m_hosts.begin(), m_hosts.end(), is_used)) {
    if (Clock::now() > limit) {
      throw SetupError("the hosts did not get ready");
    }
    RunFor(milliseconds(50));
  }
}

void Rig::Supervise() {
  for (Host& host : m_hosts) {
    int status = 0;
    if (host.pid > 0 && ::waitpid(host.pid, &status, WNOHANG) == host.pid) {
      host.pid = 0;
      host.own_ends += std::exchange(host.is_told_to_end, false) ? 0 : 1;
      host.disturbed = Clock::now();
      host.restart_at = Clock::now() + restart_delay;
      Log("host " + host.name + " ended, wait status " +
          std::to_string(status));
    }
    if (host.pid == 0 && host.is_wanted && host.restart_at &&
        Clock::now() >= *host.restart_at) {
      host.restart_at.reset();
      StartHost(&host);
    }
  }
  After(kSuperviseInterval, [this]() { Supervise(); });
}

void Rig::ProbeAll() {
  for (Host& host : m_hosts) {
    Probe(&host);
  }
  After(kProbeInterval, [this]() { ProbeAll(); });
}

void Rig::Probe(Host* host) {
  struct State {
    explicit State(boost::asio::io_context* context)
        : socket(*context), timer(*context) {}
    Tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 256> answer{};
    std::string request;
    bool is_ready = false;
    bool is_done = false;
  };
  auto state = std::make_shared<State>(&m_context);
  state->request = "GET /-/ready HTTP/1.1\r\nHost: " + host->ip.to_string() +
                   "\r\nConnection: close\r\n\r\n";
  const auto finish = [this, host, state]() {
    if (std::exchange(state->is_done, true)) {
      return;
    }
    boost::system::error_code ignored;
    state->socket.close(ignored);
    state->timer.cancel();
    const bool was_used = host->is_in_rotation;
    host->misses = state->is_ready ? 0 : host->misses + 1;
    host->is_in_rotation =
        state->is_ready || (was_used && host->misses < kMaxMisses);
    if (was_used != host->is_in_rotation) {
      Log("routers: " + host->name +
          (was_used ? " out of rotation" : " in rotation"));
    }
  };
  state->socket.async_connect(
      Tcp::endpoint(host->ip, static_cast<uint16_t>(m_port + kReadyOffset)),
      [state, finish](const boost::system::error_code& error) {
        if (error) {
          return finish();
        }
        boost::asio::async_write(
            state->socket, boost::asio::buffer(state->request),
            [state, finish](const boost::system::error_code& failure, size_t) {
              if (failure) {
                return finish();
              }
              state->socket.async_read_some(
                  boost::asio::buffer(state->answer),
                  [state, finish](const boost::system::error_code&,
                                  size_t size) {
                    const std::string head(state->answer.data(), size);
                    state->is_ready = head.find(" 200 ") < 16;
                    finish();
                  });
            });
      });
  state->timer.expires_after(kProbeInterval / 2);
  state->timer.async_wait(
      [finish](const boost::system::error_code&) { finish(); });
}

// With fewer than half of a zone's hosts in rotation, all of them are used.
bool Rig::IsUsed(const Host& host) const {
  int all = 0;
  int used = 0;
  for (const Host& other : m_hosts) {
    if (other.zone == host.zone) {
      ++all;
      used += other.is_in_rotation ? 1 : 0;
    }
  }
  return used > 0 && (host.is_in_rotation || 2 * used < all);
}

Rig::Udp::endpoint Rig::Route(const std::string& zone,
                              const FlowId& flow) const {
  // "steady": rendezvous hashing. If none of the zone is in rotation, the hosts
  // of the other zones are used.
  for (const bool is_own_zone : {true, false}) {
    const Host* best = nullptr;
    size_t best_score = 0;
    for (const Host& host : m_hosts) {
      if ((host.zone == zone) != is_own_zone || !IsUsed(host)) {
        continue;
      }
      const size_t score = std::hash<std::string>()(ToText(flow) + host.name);
      if (best == nullptr || score > best_score) {
        best = &host;
        best_score = score;
      }
    }
    if (best != nullptr) {
      return {best->ip, m_port};
    }
  }
  return {};
}

Target* Rig::AddTarget(const std::string& service,
                       const std::string& zone,
                       const std::string& state,
                       int64_t cold_left_ms,
                       size_t max_conns) {
  TargetOptions options;
  options.id = m_next_target;
  m_next_target += 0x1357;
  options.service = service;
  options.zone = zone;
  options.address = Udp::endpoint(boost::asio::ip::make_address_v4(Ip(3, 1)),
                                  m_next_target_port++);
  options.consumer_port = m_port;
  options.max_conns = max_conns;
  options.loss = loss;
  m_targets.push_back(std::make_unique<Target>(
      &m_context, options,
      [this](const Target& target, const FlowId& flow,
             const std::string& daemon, bool is_accepted) {
        Log("target " + target.name() + " (" + target.options().service + ", " +
            target.options().zone + ") got the SYN of " + ToText(flow) +
            " from " + daemon + (is_accepted ? "" : ", full: no answer"));
        on_opening(target, flow, daemon, is_accepted);
      },
      [this](const Target& target, const std::string& request) {
        Log("target " + target.name() + " runs " + request);
      }));
  Target* target = m_targets.back().get();
  target->born += static_cast<int64_t>(m_targets.size());
  WriteEntry(*target, state, cold_left_ms);
  return target;
}

void Rig::WriteEntry(const Target& target,
                     const std::string& state,
                     int64_t cold_left_ms) {
  const uint64_t revision =
      m_store->Put("servers", target.name(), target.Spec(state, cold_left_ms));
  Log("store: servers/" + target.name() + " " + state + ", cold_left_ms " +
      std::to_string(cold_left_ms) + ", revision " + std::to_string(revision));
}

void Rig::WriteConfig() {
  m_config_version += 1 + static_cast<int64_t>(m_random() % 5);
  std::string text =
      R"({"version":)" + std::to_string(m_config_version) + R"(,"routes":[)";
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteSpec& route = routes[i];
    text += std::string(i == 0 ? "" : ",") + R"({"name":"r-)" +
            std::to_string(i) + R"(","host":")" + ToText(route.address.ip) +
            R"(","path_prefix":"/)" + std::to_string(route.address.port) +
            R"(/","type":")" + route.type +
            R"(","timeout_ms":1000,"aim_ms":120,"priority":2,"service":")" +
            route.service + R"(","max_attempts":2})";
  }
  text += R"(],"services":[)";
  for (size_t i = 0; i < services.size(); ++i) {
    const ServiceSpec& service = services[i];
    text += std::string(i == 0 ? "" : ",") + R"({"name":")" + service.name +
            R"(","health_path":"/health","max_conns":)" +
            std::to_string(service.max_conns) +
            R"(,"protocol":"h1","tls":false,"cold_start_s":2.0,"cold_per_s":)" +
            std::to_string(service.cold_per_s) + "}";
  }
  text += R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  const uint64_t revision = m_store->Put("config", "main", text);
  Log("store: config/main version " + std::to_string(m_config_version) +
      ", routes " + std::to_string(routes.size()) + ", revision " +
      std::to_string(revision));
}

void Rig::OpenFlow(const std::string& zone,
                   const FlowPlan& plan,
                   Consumer::DoneHook done) {
  m_consumers.at(zone)->Open(
      plan, [this, done = std::move(done)](const FlowId& flow, FlowEnd end) {
        ++(end == FlowEnd::kServed ? served : unserved);
        if (done) {
          done(flow, end);
        }
      });
}

void Rig::Terminate(Host* host) {
  Log("SIGTERM to " + host->name);
  host->disturbed = Clock::now();
  host->is_told_to_end = true;
  if (host->pid > 0) {
    ::kill(host->pid, SIGTERM);
  }
}

void Rig::Kill(Host* host) {
  Log("SIGKILL to " + host->name);
  host->disturbed = Clock::now();
  host->is_told_to_end = true;
  if (host->pid > 0) {
    ::kill(host->pid, SIGKILL);
  }
}

Rig::Host* Rig::FindHost(const std::string& ip) {
  for (Host& host : m_hosts) {
    if (host.ip.to_string() == ip) {
      return &host;
    }
  }
  return nullptr;
}

void Rig::After(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code&) { action(); });
}

void Rig::RunFor(milliseconds time) {
  m_context.restart();
  m_context.run_for(time);
}

void Rig::Log(const std::string& text) {
  std::array<char, 32> stamp{};
  std::snprintf(
      stamp.data(), stamp.size(), "%9.3f ",
      static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(
                              Clock::now() - m_start)
                              .count()) /
          1e6);
  m_record << stamp.data() << text << '\n';
}

}  // namespace review
