#include "runtime/upstream_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace poplarsail::runtime {

namespace {

using dispatch::AttemptOutcome;
using dispatch::RequestId;
using transport::Exchange;
using transport::ExchangeResult;
using transport::Http2Connection;
using transport::HttpMessage;

constexpr std::chrono::milliseconds kConnectTimeout{1'000};
constexpr std::chrono::milliseconds kPingTimeout{2'000};

}  // namespace

// The connection to one address and the requests queued until it is open.
struct UpstreamPool::Channel {
  model::Endpoint address;
  std::shared_ptr<Http2Connection> connection;
  bool is_connecting = false;
  std::deque<QueuedRequest> queued_requests;
  std::map<RequestId, Http2Connection::StreamId> streams;
};

UpstreamPool::UpstreamPool(boost::asio::io_context* context)
    : m_context(context) {}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamPool::Channel> UpstreamPool::FindOrCreateChannel(
    const dispatch::RequestUpstream& upstream) {
  std::shared_ptr<Channel>& channel = m_channels[upstream.address];
  if (channel == nullptr) {
    channel = std::make_shared<Channel>();
    channel->address = upstream.address;
  }
  return channel;
}

void UpstreamPool::Send(RequestId id,
                        const dispatch::RequestUpstream& upstream,
                        HttpMessage request,
                        DoneHandler handler) {
  const auto channel = FindOrCreateChannel(upstream);
  QueuedRequest queued_request{id, std::move(request), std::move(handler)};
  const bool is_usable = channel->connection != nullptr &&
                         channel->connection->is_open() &&
                         !channel->connection->is_going_away();
  if (is_usable) {
    SendOnOpenConnection(channel, std::move(queued_request));
    return;
  }
  channel->queued_requests.push_back(std::move(queued_request));
  Connect(channel);
}

void UpstreamPool::Connect(const std::shared_ptr<Channel>& channel) {
  if (channel->is_connecting) {
    return;
  }
  channel->is_connecting = true;
  auto socket = std::make_shared<boost::asio::ip::tcp::socket>(*m_context);
  auto timer = std::make_shared<boost::asio::steady_timer>(*m_context);
  timer->expires_after(kConnectTimeout);
  timer->async_wait([socket](const boost::system::error_code& error) {
    boost::system::error_code ignored;
    if (!error) {
      socket->close(ignored);
    }
  });
  socket->async_connect(
      {channel->address.address, channel->address.port},
      [this, channel, socket, timer](const boost::system::error_code& error) {
        timer->cancel();
        channel->is_connecting = false;
        std::deque<QueuedRequest> queued_requests =
            std::exchange(channel->queued_requests, {});
        if (error) {
          for (QueuedRequest& item : queued_requests) {
            item.handler(AttemptOutcome::kNotRun, {});
          }
          return;
        }
        channel->connection =
            Http2Connection::CreateClient(std::move(*socket), {});
        channel->connection->Start();
        for (QueuedRequest& item : queued_requests) {
          SendOnOpenConnection(channel, std::move(item));
        }
      });
}

void UpstreamPool::SendOnOpenConnection(const std::shared_ptr<Channel>& channel,
                                        QueuedRequest queued_request) {
  const RequestId id = queued_request.id;
  const DoneHandler handler = queued_request.handler;
  const auto stream =
      channel->connection->Send(std::move(queued_request.request),
                                [channel, id, handler](Exchange exchange) {
                                  channel->streams.erase(id);
                                  switch (exchange.result) {
                                    case ExchangeResult::kResponseReceived:
                                      handler(AttemptOutcome::kResponseReceived,
                                              std::move(exchange.response));
                                      return;
                                    case ExchangeResult::kNotRun:
                                      handler(AttemptOutcome::kShed, {});
                                      return;
                                    case ExchangeResult::kUnknown:
                                      handler(AttemptOutcome::kUnknown, {});
                                      return;
                                  }
                                });
  if (stream != 0) {
    channel->streams[id] = stream;
    return;
  }
  boost::asio::post(*m_context,
                    [handler] { handler(AttemptOutcome::kNotRun, {}); });
}

void UpstreamPool::Cancel(RequestId id,
                          const dispatch::RequestUpstream& upstream) {
  const auto channel = FindOrCreateChannel(upstream);
  std::erase_if(channel->queued_requests,
                [id](const QueuedRequest& item) { return item.id == id; });
  const auto stream = channel->streams.find(id);
  if (stream != channel->streams.end() && channel->connection != nullptr) {
    channel->connection->Cancel(stream->second);
  }
}

void UpstreamPool::PingAll() {
  for (const auto& [address, channel] : m_channels) {
    if (channel->connection == nullptr ||
        channel->connection->open_streams() == 0) {
      continue;
    }
    channel->connection->Ping(kPingTimeout);
  }
}

void UpstreamPool::CloseAll() {
  for (const auto& [address, channel] : m_channels) {
    if (channel->connection != nullptr) {
      channel->connection->ShutDownGracefully();
    }
  }
}

}  // namespace poplarsail::runtime
