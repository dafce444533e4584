#include "transport/http2_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <map>
#include <utility>

#include <nghttp2/nghttp2.h>

namespace poplarsail::transport {

namespace {

constexpr size_t kReadBufferBytes = 16 * 1024;
constexpr size_t kMaxWriteBytes = 64 * 1024;
// Delay between the shutdown notice and the GOAWAY with the last stream ID.
// Requests that arrive in between are still processed.
constexpr std::chrono::milliseconds kShutdownNoticeDelay{100};

std::vector<nghttp2_nv> ToNameValues(const std::vector<HeaderField>& headers) {
  std::vector<nghttp2_nv> pairs;
  pairs.reserve(headers.size());
  for (const HeaderField& header : headers) {
    auto* name =
        reinterpret_cast<uint8_t*>(const_cast<char*>(header.name.data()));
    auto* value =
        reinterpret_cast<uint8_t*>(const_cast<char*>(header.value.data()));
    pairs.push_back({name, value, header.name.size(), header.value.size(),
                     NGHTTP2_NV_FLAG_NONE});
  }
  return pairs;
}

}  // namespace

std::string_view FindHeader(const HttpMessage& message, std::string_view name) {
  for (const HeaderField& header : message.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

struct Http2Connection::Impl {
  struct Stream {
    HttpMessage incoming;
    size_t header_bytes = 0;
    bool is_complete = false;
    bool is_refused = false;
    std::string outgoing_body;
    size_t outgoing_offset = 0;
    ExchangeHandler handler;
  };

  Impl(boost::asio::ip::tcp::socket tcp_socket,
       const Http2Limits& connection_limits,
       bool server)
      : socket(std::move(tcp_socket)),
        ping_timer(socket.get_executor()),
        goaway_timer(socket.get_executor()),
        limits(connection_limits),
        is_server(server) {}

  Stream* Find(StreamId id) {
    const auto found = streams.find(id);
    return found == streams.end() ? nullptr : &found->second;
  }

  void CreateSession();
  void SubmitSettings();
  void SubmitGoaway();
  nghttp2_data_provider BodyProvider();
  void Read(const std::shared_ptr<Http2Connection>& self);
  void Write(const std::shared_ptr<Http2Connection>& self);
  void CloseAndFailStreams();
  void EndStream(StreamId id, uint32_t error_code);
  void HandleCompleteMessage(StreamId id);

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_length,
                      const uint8_t* value,
                      size_t value_length,
                      uint8_t,
                      void* user);
  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user);
  static int OnData(nghttp2_session*,
                    uint8_t,
                    StreamId id,
                    const uint8_t* data,
                    size_t length,
                    void* user);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user);
  static int OnStreamClose(nghttp2_session*,
                           StreamId id,
                           uint32_t error_code,
                           void* user);
  static ssize_t ReadBody(nghttp2_session*,
                          StreamId id,
                          uint8_t* buffer,
                          size_t length,
                          uint32_t* flags,
                          nghttp2_data_source*,
                          void* user);

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer ping_timer;
  boost::asio::steady_timer goaway_timer;
  Http2Limits limits;
  bool is_server;
  nghttp2_session* session = nullptr;
  std::map<StreamId, Stream> streams;
  std::array<uint8_t, kReadBufferBytes> read_buffer;
  std::string write_buffer;
  bool is_writing = false;
  bool is_closed = false;
  bool is_shutting_down = false;
  bool got_goaway = false;
  bool is_awaiting_ping_ack = false;
  std::weak_ptr<Http2Connection> owner;
  RequestHandler on_request;
  CancelHandler on_cancel;
  ClosedHandler on_closed;
};

int Http2Connection::Impl::OnBeginHeaders(nghttp2_session*,
                                          const nghttp2_frame* frame,
                                          void* user) {
  auto* impl = static_cast<Impl*>(user);
  if (impl->is_server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    impl->streams[frame->hd.stream_id];
  }
  return 0;
}

int Http2Connection::Impl::OnHeader(nghttp2_session*,
                                    const nghttp2_frame* frame,
                                    const uint8_t* name,
                                    size_t name_length,
                                    const uint8_t* value,
                                    size_t value_length,
                                    uint8_t,
                                    void* user) {
  auto* impl = static_cast<Impl*>(user);
  Stream* stream = impl->Find(frame->hd.stream_id);
  if (stream == nullptr) {
    return 0;
  }
  stream->header_bytes += name_length + value_length;
  if (stream->header_bytes > impl->limits.max_header_bytes) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  stream->incoming.headers.push_back(
      {std::string(reinterpret_cast<const char*>(name), name_length),
       std::string(reinterpret_cast<const char*>(value), value_length)});
  return 0;
}

int Http2Connection::Impl::OnData(nghttp2_session* session,
                                  uint8_t,
                                  StreamId id,
                                  const uint8_t* data,
                                  size_t length,
                                  void* user) {
  auto* impl = static_cast<Impl*>(user);
  Stream* stream = impl->Find(id);
  if (stream == nullptr) {
    return 0;
  }
  if (stream->incoming.body.size() + length > impl->limits.max_body_bytes) {
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  stream->incoming.body.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

int Http2Connection::Impl::OnFrame(nghttp2_session*,
                                   const nghttp2_frame* frame,
                                   void* user) {
  auto* impl = static_cast<Impl*>(user);
  const bool is_message =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (is_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    impl->HandleCompleteMessage(frame->hd.stream_id);
    return 0;
  }
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    impl->got_goaway = true;
    return 0;
  }
  if (frame->hd.type == NGHTTP2_PING &&
      (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
    impl->is_awaiting_ping_ack = false;
    impl->ping_timer.cancel();
  }
  return 0;
}

int Http2Connection::Impl::OnStreamClose(nghttp2_session*,
                                         StreamId id,
                                         uint32_t error_code,
                                         void* user) {
  static_cast<Impl*>(user)->EndStream(id, error_code);
  return 0;
}

ssize_t Http2Connection::Impl::ReadBody(nghttp2_session*,
                                        StreamId id,
                                        uint8_t* buffer,
                                        size_t length,
                                        uint32_t* flags,
                                        nghttp2_data_source*,
                                        void* user) {
  Stream* stream = static_cast<Impl*>(user)->Find(id);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const size_t remaining =
      stream->outgoing_body.size() - stream->outgoing_offset;
  const size_t count = std::min(remaining, length);
  std::memcpy(buffer, stream->outgoing_body.data() + stream->outgoing_offset,
              count);
  stream->outgoing_offset += count;
  if (stream->outgoing_offset == stream->outgoing_body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

nghttp2_data_provider Http2Connection::Impl::BodyProvider() {
  nghttp2_data_provider provider{};
  provider.read_callback = &Impl::ReadBody;
  return provider;
}

void Http2Connection::Impl::CreateSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, &Impl::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &Impl::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &Impl::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       &Impl::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &Impl::OnStreamClose);
  if (is_server) {
    nghttp2_session_server_new(&session, callbacks, this);
  } else {
    nghttp2_session_client_new(&session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

void Http2Connection::Impl::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 2> entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.max_concurrent_streams},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<uint32_t>(limits.max_header_bytes)},
  }};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
}

void Http2Connection::Impl::SubmitGoaway() {
  is_shutting_down = true;
  nghttp2_submit_goaway(session, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session),
                        NGHTTP2_NO_ERROR, nullptr, 0);
}

void Http2Connection::Impl::HandleCompleteMessage(StreamId id) {
  Stream* stream = Find(id);
  if (stream == nullptr) {
    return;
  }
  stream->is_complete = true;
  if (!is_server || !on_request) {
    return;
  }
  // The handler may call nghttp2, which must not happen in nghttp2's callbacks.
  boost::asio::post(socket.get_executor(),
                    [self = owner.lock(), id,
                     request = std::move(stream->incoming)]() mutable {
                      self->m_impl->on_request(id, std::move(request));
                    });
}

void Http2Connection::Impl::EndStream(StreamId id, uint32_t error_code) {
  const auto found = streams.find(id);
  if (found == streams.end()) {
    return;
  }
  Stream stream = std::move(found->second);
  streams.erase(found);
  if (is_server) {
    const bool has_sent_response =
        !stream.outgoing_body.empty() &&
        stream.outgoing_offset == stream.outgoing_body.size();
    if (has_sent_response || error_code == NGHTTP2_NO_ERROR || !on_cancel) {
      return;
    }
    boost::asio::post(socket.get_executor(),
                      [handler = on_cancel, id] { handler(id); });
    return;
  }
  if (!stream.handler) {
    return;
  }
  Exchange exchange;
  if (error_code == NGHTTP2_NO_ERROR && stream.is_complete) {
    exchange = {ExchangeResult::kResponseReceived, std::move(stream.incoming)};
  } else if (error_code == NGHTTP2_REFUSED_STREAM) {
    exchange.result = ExchangeResult::kNotRun;
  }
  boost::asio::post(socket.get_executor(),
                    [handler = std::move(stream.handler),
                     exchange = std::move(exchange)]() mutable {
                      handler(std::move(exchange));
                    });
}

void Http2Connection::Impl::Read(const std::shared_ptr<Http2Connection>& self) {
  socket.async_read_some(
      boost::asio::buffer(read_buffer),
      [this, self](const boost::system::error_code& error, size_t length) {
        if (error || is_closed) {
          CloseAndFailStreams();
          return;
        }
        const ssize_t consumed =
            nghttp2_session_mem_recv(session, read_buffer.data(), length);
        if (consumed < 0) {
          Write(self);
          CloseAndFailStreams();
          return;
        }
        Write(self);
        if (!is_closed) {
          Read(self);
        }
      });
}

void Http2Connection::Impl::Write(
    const std::shared_ptr<Http2Connection>& self) {
  if (is_writing || is_closed) {
    return;
  }
  write_buffer.clear();
  while (write_buffer.size() < kMaxWriteBytes) {
    const uint8_t* data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(session, &data);
    if (length <= 0) {
      break;
    }
    write_buffer.append(reinterpret_cast<const char*>(data),
                        static_cast<size_t>(length));
  }
  if (write_buffer.empty()) {
    const bool is_done = nghttp2_session_want_read(session) == 0 &&
                         nghttp2_session_want_write(session) == 0;
    if (is_done || (is_shutting_down && streams.empty())) {
      CloseAndFailStreams();
    }
    return;
  }
  is_writing = true;
  boost::asio::async_write(
      socket, boost::asio::buffer(write_buffer),
      [this, self](const boost::system::error_code& error, size_t) {
        is_writing = false;
        if (error) {
          CloseAndFailStreams();
          return;
        }
        Write(self);
      });
}

// Closes the socket and ends all open streams with an unknown outcome.
void Http2Connection::Impl::CloseAndFailStreams() {
  if (is_closed) {
    return;
  }
  is_closed = true;
  boost::system::error_code ignored;
  socket.close(ignored);
  ping_timer.cancel();
  goaway_timer.cancel();
  while (!streams.empty()) {
    EndStream(streams.begin()->first, NGHTTP2_INTERNAL_ERROR);
  }
  if (on_closed) {
    boost::asio::post(socket.get_executor(), std::move(on_closed));
    on_closed = nullptr;
  }
}

Http2Connection::Http2Connection(boost::asio::ip::tcp::socket socket,
                                 const Http2Limits& limits,
                                 bool is_server)
    : m_impl(std::make_unique<Impl>(std::move(socket), limits, is_server)) {}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(m_impl->session);
}

std::shared_ptr<Http2Connection> Http2Connection::CreateServer(
    boost::asio::ip::tcp::socket socket,
    const Http2Limits& limits) {
  std::shared_ptr<Http2Connection> connection(
      new Http2Connection(std::move(socket), limits, true));
  return connection;
}

std::shared_ptr<Http2Connection> Http2Connection::CreateClient(
    boost::asio::ip::tcp::socket socket,
    const Http2Limits& limits) {
  std::shared_ptr<Http2Connection> connection(
      new Http2Connection(std::move(socket), limits, false));
  return connection;
}

void Http2Connection::OnRequest(RequestHandler handler) {
  m_impl->on_request = std::move(handler);
}

void Http2Connection::OnCancel(CancelHandler handler) {
  m_impl->on_cancel = std::move(handler);
}

void Http2Connection::OnClosed(ClosedHandler handler) {
  m_impl->on_closed = std::move(handler);
}

void Http2Connection::Start() {
  m_impl->owner = weak_from_this();
  boost::system::error_code ignored;
  m_impl->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  m_impl->CreateSession();
  m_impl->SubmitSettings();
  const auto self = shared_from_this();
  m_impl->Write(self);
  m_impl->Read(self);
}

void Http2Connection::Respond(StreamId id, HttpMessage response) {
  Impl::Stream* stream = m_impl->Find(id);
  if (stream == nullptr || m_impl->is_closed) {
    return;
  }
  stream->outgoing_body = std::move(response.body);
  const std::vector<nghttp2_nv> headers = ToNameValues(response.headers);
  const nghttp2_data_provider provider = m_impl->BodyProvider();
  nghttp2_submit_response(m_impl->session, id, headers.data(), headers.size(),
                          &provider);
  m_impl->Write(shared_from_this());
}

void Http2Connection::Refuse(StreamId id) {
  if (m_impl->is_closed) {
    return;
  }
  nghttp2_submit_rst_stream(m_impl->session, NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_REFUSED_STREAM);
  m_impl->Write(shared_from_this());
}

Http2Connection::StreamId Http2Connection::Send(HttpMessage request,
                                                ExchangeHandler handler) {
  if (m_impl->is_closed || m_impl->got_goaway || m_impl->is_shutting_down) {
    return 0;
  }
  const std::vector<nghttp2_nv> headers = ToNameValues(request.headers);
  const nghttp2_data_provider provider = m_impl->BodyProvider();
  const StreamId id =
      nghttp2_submit_request(m_impl->session, nullptr, headers.data(),
                             headers.size(), &provider, nullptr);
  if (id <= 0) {
    return 0;
  }
  Impl::Stream& stream = m_impl->streams[id];
  stream.outgoing_body = std::move(request.body);
  stream.handler = std::move(handler);
  m_impl->Write(shared_from_this());
  return id;
}

void Http2Connection::Cancel(StreamId id) {
  if (m_impl->is_closed) {
    return;
  }
  nghttp2_submit_rst_stream(m_impl->session, NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_CANCEL);
  m_impl->Write(shared_from_this());
}

void Http2Connection::Ping(std::chrono::milliseconds timeout) {
  if (m_impl->is_closed || m_impl->is_awaiting_ping_ack) {
    return;
  }
  m_impl->is_awaiting_ping_ack = true;
  nghttp2_submit_ping(m_impl->session, NGHTTP2_FLAG_NONE, nullptr);
  m_impl->ping_timer.expires_after(timeout);
  m_impl->ping_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->m_impl->is_awaiting_ping_ack) {
          self->m_impl->CloseAndFailStreams();
        }
      });
  m_impl->Write(shared_from_this());
}

void Http2Connection::ShutDownGracefully() {
  Impl& impl = *m_impl;
  if (impl.is_closed || impl.is_shutting_down) {
    return;
  }
  if (!impl.is_server) {
    impl.SubmitGoaway();
    impl.Write(shared_from_this());
    return;
  }
  // Sends a shutdown notice first, so that requests in flight are still
  // processed.
  nghttp2_submit_shutdown_notice(impl.session);
  impl.Write(shared_from_this());
  impl.goaway_timer.expires_after(kShutdownNoticeDelay);
  impl.goaway_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->m_impl->is_closed) {
          return;
        }
        self->m_impl->SubmitGoaway();
        self->m_impl->Write(self);
      });
}

void Http2Connection::Close() {
  m_impl->CloseAndFailStreams();
}

bool Http2Connection::is_open() const {
  return !m_impl->is_closed;
}

bool Http2Connection::is_going_away() const {
  return m_impl->got_goaway;
}

size_t Http2Connection::open_streams() const {
  return m_impl->streams.size();
}

}  // namespace poplarsail::transport
