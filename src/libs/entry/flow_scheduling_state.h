#ifndef ENTRY_FLOW_SCHEDULING_STATE_H_
#define ENTRY_FLOW_SCHEDULING_STATE_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "entry/flow_scheduling.h"
#include "entry/local_schedulers.h"
#include "entry/service_pools.h"

namespace poplarsail::entry {

// A timer that remembers its expiry.
struct Alarm {
  explicit Alarm(boost::asio::io_context* context) : timer(*context) {}

  boost::asio::steady_timer timer;
  std::optional<scheduling::SteadyTime> expiry;
};

struct FlowScheduling::State : std::enable_shared_from_this<State> {
  // What the delegate has to do for a flow.
  struct Decision {
    scheduling::ClientActionKind kind =
        scheduling::ClientActionKind::kPlaceLocally;
    std::string service;
    uint32_t token = 0;
    uint64_t upstream_id = 0;
    scheduling::RefusalReason reason = scheduling::RefusalReason::kNoRoom;
  };

  State(boost::asio::io_context* io_context,
        PeerSocket* peer_socket,
        Delegate* flow_delegate,
        Options scheduling_options)
      : context(io_context),
        socket(peer_socket),
        delegate(flow_delegate),
        options(std::move(scheduling_options)),
        client(options.own),
        pools(options.failure_domain),
        schedulers(options.own,
                   options.failure_domain,
                   &pools,
                   [this](const model::Ipv4Endpoint& receiver,
                          const scheduling::SchedulingMessage& message) {
                     Deliver(receiver, message);
                   }),
        client_alarm(io_context),
        scheduler_alarm(io_context) {}

  void Deliver(const model::Ipv4Endpoint& receiver,
               const scheduling::SchedulingMessage& message);
  void HandleDatagram(const model::Ipv4Endpoint& sender,
                      std::span<const uint8_t> datagram);
  // Returns whether the message could be used.
  bool Handle(const model::Ipv4Endpoint& sender,
              const scheduling::SchedulingMessage& message,
              scheduling::SteadyTime now);
  bool HandleGrant(const model::Ipv4Endpoint& sender,
                   const std::string& service,
                   const scheduling::GrantMessage& grant,
                   scheduling::SteadyTime now);
  bool HandleRefusal(const model::Ipv4Endpoint& sender,
                     const std::string& service,
                     const scheduling::RefuseMessage& refusal,
                     scheduling::SteadyTime now);
  bool HandleAnnouncement(const model::Ipv4Endpoint& sender,
                          const std::string& service,
                          scheduling::Announcement announcement,
                          scheduling::SteadyTime now);
  void Execute(const scheduling::ClientActions& actions,
               const char* local_cause,
               scheduling::SteadyTime now);
  void SendRequest(const scheduling::ClientAction& action,
                   scheduling::SteadyTime now);
  void LogSchedulerInUse(const std::string& service,
                         scheduling::SteadyTime now);
  // The delegate is called later, since its own calls are still running.
  void Decide(Decision decision);
  void ExecuteDecisions();
  void ExecuteDecision(const Decision& decision);
  void ScheduleTimers();
  void Schedule(Alarm& alarm,
                std::optional<scheduling::SteadyTime> expiry,
                void (State::*handler)());
  void OnClientTimer();
  void OnSchedulerTimer();

  boost::asio::io_context* context;
  PeerSocket* socket;
  Delegate* delegate;
  Options options;
  scheduling::PlacementClient client;
  scheduling::SingleRequestDetector detector;
  ServicePools pools;
  LocalSchedulers schedulers;
  Alarm client_alarm;
  Alarm scheduler_alarm;
  std::deque<Decision> decisions;
  std::unordered_map<std::string, scheduling::Candidate> schedulers_in_use;
  std::unordered_map<model::Ipv4Endpoint, uint32_t> capacity_classes;
  SchedulingFigures counts;
  bool is_stopping = false;
};

// The cause of a placement without a scheduler when there is none to ask.
inline constexpr const char* kNoScheduler = "no-scheduler";

}  // namespace poplarsail::entry

#endif  // ENTRY_FLOW_SCHEDULING_STATE_H_
