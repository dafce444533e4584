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
// is bound to the address it was opened for, so a response can't be delivered
// to a request of another connection.
class UpstreamPool {
 public:
  // Called at most once for each request, and not for one that is cancelled
  // before it was sent.
  using DoneHandler = std::function<void(dispatch::AttemptOutcome outcome,
                                         transport::HttpMessage response)>;

  explicit UpstreamPool(boost::asio::io_context* context);
  ~UpstreamPool();

  void Send(dispatch::RequestId id,
            const dispatch::RequestUpstream& upstream,
            transport::HttpMessage request,
            DoneHandler handler);
  void Cancel(dispatch::RequestId id,
              const dispatch::RequestUpstream& upstream);
  // Pings every connection with open streams to detect unresponsive ones.
  void PingAll();
  void CloseAll();

 private:
  struct QueuedRequest {
    dispatch::RequestId id = 0;
    transport::HttpMessage request;
    DoneHandler handler;
  };
  struct Channel;

  std::shared_ptr<Channel> FindOrCreateChannel(
      const dispatch::RequestUpstream& upstream);
  void Connect(const std::shared_ptr<Channel>& channel);
  void SendOnOpenConnection(const std::shared_ptr<Channel>& channel,
                            QueuedRequest queued_request);

  boost::asio::io_context* m_context;
  std::map<model::Endpoint, std::shared_ptr<Channel>> m_channels;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_UPSTREAM_POOL_H_
