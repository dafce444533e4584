#ifndef TRANSPORT_HTTP2_CONNECTION_H_
#define TRANSPORT_HTTP2_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace poplarsail::transport {

struct HeaderField {
  std::string name;
  std::string value;

  friend auto operator<=>(const HeaderField&, const HeaderField&) = default;
};

// A complete HTTP request or response. The headers include pseudo-headers such
// as ":path".
struct HttpMessage {
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const HttpMessage&, const HttpMessage&) = default;
};

// Returns the first value of header `name`, or an empty string.
std::string_view FindHeader(const HttpMessage& message, std::string_view name);

// The outcome of a request that was sent to a peer.
enum class ExchangeResult : uint8_t {
  // The complete response was received.
  kResponseReceived,
  // The request did not run: no byte of it left this process, or the peer
  // confirmed it (REFUSED_STREAM, or GOAWAY with a lower last stream ID).
  kNotRun,
  // The request may have run.
  kUnknown,
};

struct Exchange {
  ExchangeResult result = ExchangeResult::kUnknown;
  HttpMessage response;

  friend bool operator==(const Exchange&, const Exchange&) = default;
};

// Limits for what a peer may send on one connection.
struct Http2Limits {
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 16 << 10;
  uint32_t max_concurrent_streams = 256;

  friend bool operator==(const Http2Limits&, const Http2Limits&) = default;
};

// An HTTP/2 connection over TCP (RFC 9113), as server or client, driven by one
// io_context thread. Pending operations hold a shared_ptr to it, so it lives at
// least until it is closed.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  using StreamId = int32_t;
  using RequestHandler =
      std::function<void(StreamId stream, HttpMessage request)>;
  // Called if the client cancelled `stream` or the connection was closed.
  using CancelHandler = std::function<void(StreamId stream)>;
  using ExchangeHandler = std::function<void(Exchange exchange)>;
  using ClosedHandler = std::function<void()>;

  static std::shared_ptr<Http2Connection> CreateServer(
      boost::asio::ip::tcp::socket socket,
      const Http2Limits& limits);
  static std::shared_ptr<Http2Connection> CreateClient(
      boost::asio::ip::tcp::socket socket,
      const Http2Limits& limits);
  ~Http2Connection();

  // Handlers must be set before Start.
  void OnRequest(RequestHandler handler);
  void OnCancel(CancelHandler handler);
  void OnClosed(ClosedHandler handler);
  void Start();

  // Server: sends the response. Does nothing if the stream no longer exists.
  void Respond(StreamId stream, HttpMessage response);
  // Server: rejects a request that did not run (REFUSED_STREAM).
  void Refuse(StreamId stream);

  // Client: sends a request. `handler` is called exactly once, and never from
  // within this call. Returns the stream, or 0 if the connection accepts no
  // more requests.
  StreamId Send(HttpMessage request, ExchangeHandler handler);
  // Client: cancels the request (RST_STREAM CANCEL). Its handler is called with
  // kUnknown.
  void Cancel(StreamId stream);

  // Sends a PING and closes the connection if it is not acknowledged in time.
  void Ping(std::chrono::milliseconds timeout);

  // Accepts no new streams and closes the connection when the open ones have
  // ended.
  void ShutDownGracefully();
  void Close();

  bool is_open() const;
  // Client: the peer has announced that it accepts no new streams.
  bool is_going_away() const;
  size_t open_streams() const;

 private:
  struct Impl;
  Http2Connection(boost::asio::ip::tcp::socket socket,
                  const Http2Limits& limits,
                  bool is_server);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace poplarsail::transport

#endif  // TRANSPORT_HTTP2_CONNECTION_H_
