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

// A whole HTTP request or answer. Pseudo-headers (":path") stand among the
// headers.
struct HttpMessage {
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const HttpMessage&, const HttpMessage&) = default;
};

// Returns the first value of `name`, or an empty text.
std::string_view FindHeader(const HttpMessage& message, std::string_view name);

// What is known of a request that was sent to a peer.
enum class ExchangeResult : uint8_t {
  // The whole answer came.
  kAnswered,
  // The request did not run: no byte of it left this process, or the peer
  // proved it (REFUSED_STREAM, or GOAWAY with a lower last stream).
  kNotRun,
  // The request may have run.
  kUnknown,
};

struct Exchange {
  ExchangeResult result = ExchangeResult::kUnknown;
  HttpMessage answer;

  friend bool operator==(const Exchange&, const Exchange&) = default;
};

// Bounds on what a peer may send on one connection.
struct Http2Limits {
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 16 << 10;
  uint32_t max_concurrent_streams = 256;

  friend bool operator==(const Http2Limits&, const Http2Limits&) = default;
};

// One HTTP/2 connection over TCP (RFC 9113), as server or client, driven by
// one io_context thread. Keep it in a shared_ptr; it lives until closed.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  using StreamId = int32_t;
  using RequestHandler =
      std::function<void(StreamId stream, HttpMessage request)>;
  // The caller of `stream` gave up, or the connection closed.
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

  // Set handlers before Start.
  void OnRequest(RequestHandler handler);
  void OnCancel(CancelHandler handler);
  void OnClosed(ClosedHandler handler);
  void Start();

  // Server: answers a request. Does nothing for a stream that is gone.
  void Answer(StreamId stream, HttpMessage answer);
  // Server: refuses a request that was not run (REFUSED_STREAM).
  void Refuse(StreamId stream);

  // Client: sends a request; `handler` is called once, never from within this
  // call. Returns the stream, or 0 where the connection takes no more.
  StreamId Send(HttpMessage request, ExchangeHandler handler);
  // Client: gives the request up (RST_STREAM CANCEL); its handler is called
  // with kUnknown.
  void Cancel(StreamId stream);

  // Sends a PING; the connection closes where no answer comes in time.
  void Ping(std::chrono::milliseconds timeout);

  // Takes no new streams and closes when the open ones have ended.
  void ShutDownGracefully();
  void Close();

  bool is_open() const;
  // Client: the peer said that it takes no new streams.
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
