#ifndef RUNTIME_UPSTREAM_POOL_H_
#define RUNTIME_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dispatch/dispatch.h"
#include "transport/transport.h"

namespace poplarsail::runtime {

// Keeps one HTTP/2 connection to each upstream that has requests. A connection
// belongs to the address that it was opened for; answers can't reach requests
// of another connection.
class UpstreamPool {
 public:
  // Called once for each request.
  using DoneHandler = std::function<void(dispatch::AttemptOutcome outcome,
                                         transport::HttpMessage answer)>;

  explicit UpstreamPool(boost::asio::io_context* context);
  ~UpstreamPool();

  void Send(dispatch::RequestId id,
            const dispatch::RequestUpstream& upstream,
            transport::HttpMessage request,
            DoneHandler handler);
  void Cancel(dispatch::RequestId id,
              const dispatch::RequestUpstream& upstream);
  // Finds connections that went silent.
  void PingAll();
  void CloseAll();

 private:
  struct Waiting {
    dispatch::RequestId id = 0;
    transport::HttpMessage request;
    DoneHandler handler;
  };
  struct Link;

  std::shared_ptr<Link> LinkTo(const dispatch::RequestUpstream& upstream);
  void Connect(const std::shared_ptr<Link>& link);
  void SendNow(const std::shared_ptr<Link>& link, Waiting waiting);

  boost::asio::io_context* m_context;
  std::map<model::Endpoint, std::shared_ptr<Link>> m_links;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_UPSTREAM_POOL_H_
