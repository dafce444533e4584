#ifndef TESTS_ENTRY_FREE_ENDPOINT_H_
#define TESTS_ENTRY_FREE_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "model/model.h"

namespace poplarsail::entry {

// Returns a loopback endpoint at which no datagram socket is open.
inline model::Ipv4Endpoint FreeEndpoint(boost::asio::io_context* context) {
  const boost::asio::ip::udp::socket socket(
      *context, {boost::asio::ip::address_v4::loopback(), 0});
  return {socket.local_endpoint().address().to_v4().to_uint(),
          socket.local_endpoint().port()};
}

}  // namespace poplarsail::entry

#endif  // TESTS_ENTRY_FREE_ENDPOINT_H_
