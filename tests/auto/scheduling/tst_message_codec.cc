#include "scheduling/message_codec.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <cmath>
#include <msgpack.hpp>

namespace poplarsail::scheduling {
namespace {

using Bytes = std::vector<uint8_t>;

const Ipv4Endpoint kListener{0x0a000001, 80};
const Ipv4Endpoint kHost{0x0a000002, 7000};

template <typename... Fields>
Bytes Pack(const Fields&... fields) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(sizeof...(fields));
  (packer.pack(fields), ...);
  return {buffer.data(), buffer.data() + buffer.size()};
}

template <typename... Fields>
msgpack::type::tuple<Fields...> List(const Fields&... fields) {
  return {fields...};
}

std::vector<MessageBody> AllBodies() {
  Announcement announcement{.service = "web",
                            .failure_domain = "a",
                            .capacity_class = 11,
                            .places = 80,
                            .outstanding = 79,
                            .waiting = 3,
                            .free_places = 1,
                            .predicted_wait = milliseconds(40),
                            .mean_work = milliseconds(22)};
  return {
      PlaceMessage{7, kListener, 9, milliseconds(3), {1, UINT64_MAX}, {}},
      PlaceMessage{7, kListener, 9, milliseconds(3), {}, kHost},
      GrantMessage{7, UINT64_MAX},
      QueuedMessage{UINT32_MAX},
      RefuseMessage{7, RefusalReason::kNoRoom, {}, {}},
      RefuseMessage{7, RefusalReason::kNoUpstream, {}, kHost},
      RefuseMessage{7, RefusalReason::kUseOther, kHost, {}},
      RefuseMessage{7, RefusalReason::kUseOther, kListener, kHost},
      CompleteMessage{{{1, 2, Outcome::kAbandoned, {}},
                       {3, 4, Outcome::kResponded, milliseconds(22)}}},
      SnapshotMessage{1, 3, {{1, 2, milliseconds(22)}}},
      SnapshotMessage{},
      announcement,
      LearnedMessage{{{1, 1'700'000'000'000, 0.55, 12.5}},
                     {{kListener, 22, 20, 150, 40}}},
  };
}

}  // namespace

// Guards against fields that are lost or swapped between hosts.
TEST_CASE("Each message type survives encoding and decoding") {
  for (const MessageBody& body : AllBodies()) {
    const SchedulingMessage message{"web", body};
    const auto datagrams = EncodeMessage(message);
    REQUIRE(datagrams.size() == 1);
    CHECK(DecodeMessage(datagrams[0]) == message);
    // Guards against messages that were cut or have bytes added.
    for (size_t size = 0; size < datagrams[0].size(); ++size) {
      CHECK(!DecodeMessage(std::span(datagrams[0]).first(size)));
    }
    Bytes longer = datagrams[0];
    longer.push_back(0);
    CHECK(!DecodeMessage(longer));
  }
}

// Guards against datagrams that are fragmented and lost with a higher rate.
TEST_CASE("Long lists are split over datagrams") {
  const std::string service(255, 's');
  SnapshotMessage snapshot;
  CompleteMessage complete;
  LearnedMessage learned;
  for (uint32_t i = 0; i < 500; ++i) {
    snapshot.flows.push_back(
        {UINT32_MAX - i, UINT64_MAX, milliseconds(60'000)});
    complete.completions.push_back(
        {UINT32_MAX - i, UINT64_MAX, Outcome::kFailed, milliseconds(9'000)});
    learned.speeds.push_back({UINT64_MAX - i, 1'700'000'000'000, 0.7, 9.5});
    learned.work.push_back({kListener, 0.1, 0.2, 0.3, 0.4});
  }
  SnapshotMessage joined;
  uint32_t part = 0;
  const auto parts = EncodeMessage({service, snapshot});
  for (const auto& datagram : parts) {
    REQUIRE(datagram.size() <= kMaxSchedulingMessageBytes);
    const auto message = DecodeMessage(datagram);
    REQUIRE(message);
    const auto& body = std::get<SnapshotMessage>(message->body);
    CHECK(body.part == part++);
    CHECK(body.part_count == parts.size());
    joined.flows.insert(joined.flows.end(), body.flows.begin(),
                        body.flows.end());
  }
  CHECK(joined == snapshot);
  CompleteMessage completed;
  for (const auto& datagram : EncodeMessage({service, complete})) {
    REQUIRE(datagram.size() <= kMaxSchedulingMessageBytes);
    const auto message = DecodeMessage(datagram);
    REQUIRE(message);
    const auto& body = std::get<CompleteMessage>(message->body);
    completed.completions.insert(completed.completions.end(),
                                 body.completions.begin(),
                                 body.completions.end());
  }
  CHECK(completed == complete);
  LearnedMessage received;
  for (const auto& datagram : EncodeMessage({service, learned})) {
    REQUIRE(datagram.size() <= kMaxSchedulingMessageBytes);
    const auto message = DecodeMessage(datagram);
    REQUIRE(message);
    const auto& body = std::get<LearnedMessage>(message->body);
    received.speeds.insert(received.speeds.end(), body.speeds.begin(),
                           body.speeds.end());
    received.work.insert(received.work.end(), body.work.begin(),
                         body.work.end());
  }
  CHECK(received == learned);
}

// Guards against figures that would poison placement, and against hosts of
// other releases.
TEST_CASE("Invalid messages are dropped") {
  const std::string web = "web";
  const std::vector<uint64_t> none;
  const double nan = std::nan("");
  const uint64_t big = 1'000'001;
  const auto work = [&](auto mean) {
    return Pack(2, 9, web, none, List(List(1, 80, mean, 1.0, 1.0, 1.0)));
  };
  const auto speed = [&](auto value) {
    return Pack(2, 9, web, List(List(1, 2, value, 1.0)), none);
  };
  // The helpers give valid messages otherwise.
  REQUIRE(DecodeMessage(work(1.0)));
  REQUIRE(DecodeMessage(speed(1.0)));
  REQUIRE(DecodeMessage(Pack(2, 5, web, List(List(1, 2, 1, 3)))));
  REQUIRE(DecodeMessage(Pack(2, 1, web, 1, 1, 80, 3, 4, none)));
  REQUIRE(DecodeMessage(Pack(2, 5, web, std::vector(200, List(1, 2, 1, 3)))));
  const std::vector<std::pair<std::string, Bytes>> cases = {
      {"empty", {}},
      {"version 1", Pack(1, 3, web, 7)},
      {"version 3", Pack(3, 3, web, 7)},
      {"type 0", Pack(2, 0, web, 7)},
      {"type 10", Pack(2, 10, web, 7)},
      {"type beyond a byte", Pack(2, 259, web, 7)},
      {"no service", Pack(2, 3, "", 7)},
      {"long service", Pack(2, 3, std::string(256, 's'), 7)},
      {"service is a number", Pack(2, 3, 4, 7)},
      {"a field more", Pack(2, 3, web, 7, 8)},
      {"negative token", Pack(2, 3, web, -1)},
      {"token beyond 32 bits", Pack(2, 3, web, uint64_t{1} << 32)},
      {"token is a fraction", Pack(2, 3, web, 1.5)},
      {"token is a name", Pack(2, 3, web, "7")},
      {"port 0", Pack(2, 1, web, 1, 1, 0, 3, 4, none)},
      {"port 65536", Pack(2, 1, web, 1, 1, 65'536, 3, 4, none)},
      {"negative age", Pack(2, 1, web, 1, 1, 80, 3, -1, none)},
      {"age over 10 minutes", Pack(2, 1, web, 1, 1, 80, 3, 600'001, none)},
      {"too many excluded upstreams",
       Pack(2, 1, web, 1, 1, 80, 3, 4, std::vector<uint64_t>(33))},
      {"reason 0", Pack(2, 4, web, 1, 0)},
      {"reason 4", Pack(2, 4, web, 1, 4)},
      {"use-other without the other", Pack(2, 4, web, 1, 3)},
      {"outcome 0", Pack(2, 5, web, List(List(1, 2, 0, 3)))},
      {"outcome 4", Pack(2, 5, web, List(List(1, 2, 4, 3)))},
      {"completion of five fields", Pack(2, 5, web, List(List(1, 2, 1, 3, 4)))},
      {"completion of three fields", Pack(2, 5, web, List(List(1, 2, 1)))},
      {"long response time", Pack(2, 5, web, List(List(1, 2, 1, 6'000'001)))},
      {"part beyond the count", Pack(2, 6, web, none, 2, 2)},
      {"too many parts", Pack(2, 6, web, none, 0, 1'025)},
      {"capacity class", Pack(2, 7, web, "a", 32, 1, 1, 1, 1, 1, 1)},
      {"places", Pack(2, 7, web, "a", 3, big, 1, 1, 1, 1, 1)},
      {"negative wait", Pack(2, 7, web, "a", 3, 1, 1, 1, 1, -1, 1)},
      {"speed is not a number", speed(nan)},
      {"infinite speed", speed(HUGE_VAL)},
      {"negative speed", speed(-1.0)},
      {"speed above 4", speed(4.1)},
      {"work is not a number", work(nan)},
      {"infinite work", work(HUGE_VAL)},
      {"negative work", work(-0.1)},
      {"too deep", Pack(2, 5, web, List(List(List(List(List(1))))))},
      {"deep nesting", Bytes(1'200, 0x91)},
      {"huge array", {0xdd, 0xff, 0xff, 0xff, 0xff}},
      {"oversized", Pack(2, 5, web, std::vector(300, List(1, 2, 1, 3)))},
  };
  for (const auto& [name, datagram] : cases) {
    INFO(name);
    CHECK(!DecodeMessage(datagram));
  }
}

// Guards against a crash by a damaged or hostile datagram.
TEST_CASE("Random and damaged bytes do no harm") {
  CHECK(rc::check("random bytes",
                  [](const Bytes& bytes) { DecodeMessage(bytes); }));
  CHECK(rc::check("damaged messages", [] {
    const auto bodies = AllBodies();
    const auto body = *rc::gen::inRange<size_t>(0, bodies.size());
    Bytes datagram = EncodeMessage({"web", bodies[body]})[0];
    const auto at = *rc::gen::inRange<size_t>(0, datagram.size());
    datagram[at] = *rc::gen::arbitrary<uint8_t>();
    if (const auto message = DecodeMessage(datagram)) {
      RC_ASSERT(!EncodeMessage(*message).empty());
    }
  }));
}

}  // namespace poplarsail::scheduling
