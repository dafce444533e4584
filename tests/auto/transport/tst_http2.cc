#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>

#include "transport/transport.h"

namespace poplarsail::transport {
namespace {

using boost::asio::ip::tcp;

// Runs the context until `condition` returns true.
void RunUntil(boost::asio::io_context* context,
              const std::function<bool()>& condition) {
  while (!condition()) {
    context->restart();
    REQUIRE(context->run_one() > 0);
  }
}

// A client and a server on one context, connected over loopback.
struct ConnectedPair {
  ConnectedPair() {
    tcp::acceptor acceptor(context,
                           {boost::asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket client_socket(context);
    client_socket.connect(acceptor.local_endpoint());
    server = Http2Connection::CreateServer(acceptor.accept(), {});
    client = Http2Connection::CreateClient(std::move(client_socket), {});
  }

  void Start(Http2Connection::RequestHandler on_request) {
    server->OnRequest(std::move(on_request));
    server->Start();
    client->Start();
  }

  // Sends the request and runs the context until the exchange has ended.
  Exchange SendAndWait(HttpMessage request) {
    std::optional<Exchange> result;
    const auto stream =
        client->Send(std::move(request),
                     [&](Exchange exchange) { result = std::move(exchange); });
    REQUIRE(stream != 0);
    RunUntil(&context, [&] { return result.has_value(); });
    return *result;
  }

  boost::asio::io_context context;
  std::shared_ptr<Http2Connection> server;
  std::shared_ptr<Http2Connection> client;
};

HttpMessage Request(const std::string& path, std::string body = "") {
  return {{{":method", "POST"},
           {":scheme", "http"},
           {":authority", "tally"},
           {":path", path}},
          std::move(body)};
}

TEST_CASE("the result of an exchange reflects what the server did") {
  struct Case {
    std::string path;
    ExchangeResult expected;
  };
  const std::vector<Case> cases = {
      {"/answer", ExchangeResult::kResponseReceived},
      {"/refuse", ExchangeResult::kNotRun},
      {"/close", ExchangeResult::kUnknown},
  };
  for (const Case& item : cases) {
    INFO(item.path);
    ConnectedPair pair;
    pair.Start([&](Http2Connection::StreamId stream, HttpMessage request) {
      const auto path = FindHeader(request, ":path");
      if (path == "/answer") {
        pair.server->Respond(stream, {{{":status", "200"}}, request.body});
      } else if (path == "/refuse") {
        pair.server->Refuse(stream);
      } else {
        pair.server->Close();
      }
    });
    const Exchange exchange = pair.SendAndWait(Request(item.path, "entry"));
    CHECK(exchange.result == item.expected);
    const bool has_response =
        item.expected == ExchangeResult::kResponseReceived;
    CHECK(exchange.response.body == (has_response ? "entry" : ""));
  }
}

// Guards against a response that reaches the wrong request.
TEST_CASE("responses in reverse order reach their own requests") {
  ConnectedPair pair;
  std::vector<std::pair<Http2Connection::StreamId, std::string>> held;
  pair.Start([&](Http2Connection::StreamId stream, HttpMessage request) {
    held.emplace_back(stream, request.body);
    if (held.size() < 20) {
      return;
    }
    for (auto item = held.rbegin(); item != held.rend(); ++item) {
      pair.server->Respond(item->first, {{{":status", "200"}}, item->second});
    }
  });
  int matching = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string body = "entry " + std::to_string(i);
    pair.client->Send(Request("/", body), [&matching, body](Exchange exchange) {
      matching += exchange.response.body == body ? 1 : 0;
    });
  }
  RunUntil(&pair.context, [&] { return matching == 20; });
  CHECK(matching == 20);
}

TEST_CASE("a large body is complete, and one over the limit is rejected") {
  ConnectedPair pair;
  pair.Start([&](Http2Connection::StreamId stream, HttpMessage request) {
    pair.server->Respond(stream, {{{":status", "200"}}, request.body});
  });
  const std::string large(500'000, 'x');
  CHECK(pair.SendAndWait(Request("/", large)).response.body == large);
  const std::string too_large((1 << 20) + 1, 'x');
  CHECK(pair.SendAndWait(Request("/", too_large)).result ==
        ExchangeResult::kUnknown);
}

TEST_CASE("a graceful shutdown completes open requests, rejects later ones") {
  ConnectedPair pair;
  Http2Connection::StreamId held = 0;
  pair.Start([&](Http2Connection::StreamId stream, HttpMessage) {
    held = stream;
    pair.server->ShutDownGracefully();
  });
  std::optional<Exchange> first;
  pair.client->Send(Request("/held"),
                    [&](Exchange exchange) { first = std::move(exchange); });
  RunUntil(&pair.context, [&] { return pair.client->is_going_away(); });
  CHECK(pair.client->Send(Request("/late"), [](Exchange) {}) == 0);
  pair.server->Respond(held, {{{":status", "200"}}, "whole"});
  RunUntil(&pair.context, [&] { return first.has_value(); });
  CHECK(first->result == ExchangeResult::kResponseReceived);
  CHECK(first->response.body == "whole");
}

TEST_CASE("the server is notified when the client cancels a request") {
  ConnectedPair pair;
  Http2Connection::StreamId cancelled = 0;
  pair.server->OnCancel(
      [&](Http2Connection::StreamId stream) { cancelled = stream; });
  Http2Connection::StreamId stream = 0;
  pair.Start([&](Http2Connection::StreamId, HttpMessage) {
    pair.client->Cancel(stream);
  });
  std::optional<Exchange> result;
  stream = pair.client->Send(
      Request("/"), [&](Exchange exchange) { result = std::move(exchange); });
  RunUntil(&pair.context, [&] { return cancelled != 0 && result; });
  CHECK(cancelled == stream);
  CHECK(result->result == ExchangeResult::kUnknown);
}

TEST_CASE("requests on an unresponsive connection end with unknown outcome") {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket client_socket(context);
  client_socket.connect(acceptor.local_endpoint());
  const tcp::socket silent = acceptor.accept();
  const auto client =
      Http2Connection::CreateClient(std::move(client_socket), {});
  client->Start();
  std::optional<Exchange> result;
  client->Send(Request("/"),
               [&](Exchange exchange) { result = std::move(exchange); });
  client->Ping(std::chrono::milliseconds(20));
  RunUntil(&context, [&] { return result.has_value(); });
  CHECK(result->result == ExchangeResult::kUnknown);
  CHECK_FALSE(client->is_open());
}

// Guards against malformed input on one connection that breaks another one.
TEST_CASE("bytes that are not HTTP/2 close only their own connection") {
  ConnectedPair pair;
  bool closed = false;
  pair.server->OnClosed([&] { closed = true; });
  tcp::acceptor acceptor(pair.context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket raw_socket(pair.context);
  raw_socket.connect(acceptor.local_endpoint());
  const auto raw_server = Http2Connection::CreateServer(acceptor.accept(), {});
  bool raw_server_closed = false;
  raw_server->OnClosed([&] { raw_server_closed = true; });
  raw_server->Start();
  boost::asio::write(raw_socket,
                     boost::asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                                     "\r\n garbage")));
  RunUntil(&pair.context, [&] { return raw_server_closed; });
  pair.Start([&](Http2Connection::StreamId stream, HttpMessage) {
    pair.server->Respond(stream, {{{":status", "200"}}, "fine"});
  });
  CHECK(pair.SendAndWait(Request("/")).response.body == "fine");
  CHECK_FALSE(closed);
}

}  // namespace
}  // namespace poplarsail::transport
