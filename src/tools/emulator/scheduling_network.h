#ifndef EMULATOR_SCHEDULING_NETWORK_H_
#define EMULATOR_SCHEDULING_NETWORK_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emulator/event_queue.h"
#include "scheduling/scheduling.h"

namespace poplarsail::emulator {

// Delivers messages of flow scheduling between hosts after a delay.
class SchedulingNetwork {
 public:
  // A host that receives messages.
  class Receiver {
   public:
    virtual ~Receiver() = default;
    virtual void OnMessage(const model::Ipv4Endpoint& from,
                           const scheduling::SchedulingMessage& message) = 0;
    // Another scheduler has granted a request that this one has forwarded.
    virtual void OnForwardGranted(const std::string& service,
                                  const scheduling::RequestKey& key) = 0;
  };

  SchedulingNetwork(EventQueue* events, SteadyTime::duration domain_delay)
      : m_events(events), m_domain_delay(domain_delay) {}

  void Add(const model::Ipv4Endpoint& endpoint,
           const std::string& failure_domain,
           Receiver* receiver) {
    m_hosts[endpoint] = {failure_domain, receiver};
  }

  void Send(const model::Ipv4Endpoint& from,
            const model::Ipv4Endpoint& to,
            const scheduling::SchedulingMessage& message);
  // There is no message for this yet.
  void NotifyForwardGranted(const model::Ipv4Endpoint& from,
                            const model::Ipv4Endpoint& to,
                            const std::string& service,
                            const scheduling::RequestKey& key);
  // Sends the message to all other hosts.
  void Broadcast(const model::Ipv4Endpoint& from,
                 const scheduling::SchedulingMessage& message);

  std::vector<scheduling::Candidate> Candidates(
      const std::string& failure_domain) const;

 private:
  struct Host {
    std::string failure_domain;
    Receiver* receiver = nullptr;
  };

  SteadyTime::duration DelayBetween(const model::Ipv4Endpoint& from,
                                    const model::Ipv4Endpoint& to) const;

  EventQueue* m_events;
  SteadyTime::duration m_domain_delay;
  std::map<model::Ipv4Endpoint, Host> m_hosts;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_SCHEDULING_NETWORK_H_
