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

// The connection to one address, and what waits for it to open.
struct UpstreamPool::Link {
  model::Endpoint address;
  std::shared_ptr<Http2Connection> connection;
  bool is_connecting = false;
  std::deque<Waiting> waiting;
  std::map<RequestId, Http2Connection::StreamId> streams;
};

UpstreamPool::UpstreamPool(boost::asio::io_context* context)
    : m_context(context) {}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamPool::Link> UpstreamPool::LinkTo(
    const dispatch::RequestUpstream& upstream) {
  std::shared_ptr<Link>& link = m_links[upstream.address];
  if (link == nullptr) {
    link = std::make_shared<Link>();
    link->address = upstream.address;
  }
  return link;
}

void UpstreamPool::Send(RequestId id,
                        const dispatch::RequestUpstream& upstream,
                        HttpMessage request,
                        DoneHandler handler) {
  const auto link = LinkTo(upstream);
  Waiting waiting{id, std::move(request), std::move(handler)};
  const bool is_usable = link->connection != nullptr &&
                         link->connection->is_open() &&
                         !link->connection->is_going_away();
  if (is_usable) {
    SendNow(link, std::move(waiting));
    return;
  }
  link->waiting.push_back(std::move(waiting));
  Connect(link);
}

void UpstreamPool::Connect(const std::shared_ptr<Link>& link) {
  if (link->is_connecting) {
    return;
  }
  link->is_connecting = true;
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
      {link->address.address, link->address.port},
      [this, link, socket, timer](const boost::system::error_code& error) {
        timer->cancel();
        link->is_connecting = false;
        std::deque<Waiting> waiting = std::exchange(link->waiting, {});
        if (error) {
          for (Waiting& item : waiting) {
            item.handler(AttemptOutcome::kNotRun, {});
          }
          return;
        }
        link->connection =
            Http2Connection::CreateClient(std::move(*socket), {});
        link->connection->Start();
        for (Waiting& item : waiting) {
          SendNow(link, std::move(item));
        }
      });
}

void UpstreamPool::SendNow(const std::shared_ptr<Link>& link, Waiting waiting) {
  const RequestId id = waiting.id;
  const DoneHandler handler = waiting.handler;
  const auto stream = link->connection->Send(
      std::move(waiting.request), [link, id, handler](Exchange exchange) {
        link->streams.erase(id);
        switch (exchange.result) {
          case ExchangeResult::kAnswered:
            handler(AttemptOutcome::kAnswered, std::move(exchange.answer));
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
    link->streams[id] = stream;
    return;
  }
  boost::asio::post(*m_context,
                    [handler] { handler(AttemptOutcome::kNotRun, {}); });
}

void UpstreamPool::Cancel(RequestId id,
                          const dispatch::RequestUpstream& upstream) {
  const auto link = LinkTo(upstream);
  std::erase_if(link->waiting,
                [id](const Waiting& item) { return item.id == id; });
  const auto stream = link->streams.find(id);
  if (stream != link->streams.end() && link->connection != nullptr) {
    link->connection->Cancel(stream->second);
  }
}

void UpstreamPool::PingAll() {
  for (const auto& [address, link] : m_links) {
    if (link->connection == nullptr || link->connection->open_streams() == 0) {
      continue;
    }
    link->connection->Ping(kPingTimeout);
  }
}

void UpstreamPool::CloseAll() {
  for (const auto& [address, link] : m_links) {
    if (link->connection != nullptr) {
      link->connection->ShutDownGracefully();
    }
  }
}

}  // namespace poplarsail::runtime
