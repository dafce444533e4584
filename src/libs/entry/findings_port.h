#ifndef ENTRY_FINDINGS_PORT_H_
#define ENTRY_FINDINGS_PORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "entry/send_budget.h"
#include "model/model.h"

namespace poplarsail::entry {

// Bytes of findings that a host sends a second, with IP and UDP headers: some
// 1,400 datagrams, a twentieth of what a link of 10 Mbit/s bears.
inline constexpr double kFindingBytesPerSecond = 60'000;

// Tells other entry hosts which upstream does not answer, and takes what they
// tell: all in the same failure domain, and in each other domain a few that
// pass it on there. A finding is a hint: each host checks the upstream itself.
// Lost datagrams cost nothing but that hint.
class FindingsPort {
 public:
  using Callback = std::function<void(uint64_t upstream_id)>;

  // Throws boost::system::system_error where the address can't be bound.
  FindingsPort(boost::asio::io_context* context,
               const model::Endpoint& endpoint,
               Callback callback);

  void Start() { ReceiveNext(); }
  void Tell(uint64_t upstream_id);
  // The hosts of the same failure domain.
  void set_neighbours(std::vector<model::Ipv4Endpoint> neighbours);
  // Hosts of other failure domains.
  void set_contacts(std::vector<model::Ipv4Endpoint> contacts);

 private:
  void ReceiveNext();
  void Take(size_t size);
  void Send(uint64_t upstream_id,
            bool is_to_pass_on,
            const std::vector<model::Ipv4Endpoint>& targets);

  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_own;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<uint8_t, 64> m_buffer{};
  std::vector<model::Ipv4Endpoint> m_neighbours;
  std::vector<model::Ipv4Endpoint> m_contacts;
  SendBudget m_budget{kFindingBytesPerSecond};
  Callback m_callback;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_FINDINGS_PORT_H_
