#ifndef ENTRY_FINDINGS_PORT_H_
#define ENTRY_FINDINGS_PORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "model/model.h"

namespace poplarsail::entry {

// Tells the entry hosts of the same failure domain which upstream does not
// answer, and takes what they tell. A finding is a hint: each host checks the
// upstream itself. Lost datagrams cost nothing but that hint.
class FindingsPort {
 public:
  using Callback = std::function<void(uint64_t upstream_id)>;

  // Throws boost::system::system_error where the address can't be bound.
  FindingsPort(boost::asio::io_context* context,
               const model::Endpoint& endpoint,
               Callback callback);

  void Start() { ReceiveNext(); }
  void Tell(uint64_t upstream_id);
  void set_neighbours(std::vector<model::Ipv4Endpoint> neighbours);

 private:
  void ReceiveNext();
  void Take(size_t size);

  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_own;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<uint8_t, 64> m_buffer{};
  std::vector<model::Ipv4Endpoint> m_neighbours;
  Callback m_callback;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_FINDINGS_PORT_H_
