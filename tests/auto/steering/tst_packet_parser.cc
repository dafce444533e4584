#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "standins/caller_flows.h"
#include "steering/steering.h"

namespace poplarsail::steering {
namespace {

using Bytes = std::vector<uint8_t>;

Bytes GoodPacket(uint8_t flags) {
  return standins::BuildTcpPacket(*model::ParseEndpoint("10.0.0.1:1234"),
                                  *model::ParseEndpoint("203.0.113.10:443"),
                                  flags, {});
}

Bytes Changed(size_t offset, uint8_t value) {
  Bytes packet = GoodPacket(standins::kTcpSynFlag);
  packet[offset] = value;
  return packet;
}

Bytes Cut(size_t length) {
  Bytes packet = GoodPacket(standins::kTcpSynFlag);
  packet.resize(length);
  return packet;
}

TEST_CASE("a TCP packet is read") {
  const ParsedPacket first = ParsePacket(GoodPacket(standins::kTcpSynFlag));
  REQUIRE(first.error == PacketError::kNone);
  CHECK(first.summary.opens_flow);
  CHECK(first.summary.key.source_port == 1234);
  CHECK(first.summary.key.destination_port == 443);
  const ParsedPacket later = ParsePacket(GoodPacket(standins::kTcpAckFlag));
  CHECK_FALSE(later.summary.opens_flow);
  CHECK(later.summary.key == first.summary.key);
}

TEST_CASE("malformed packets are refused by reason") {
  struct Case {
    Bytes packet;
    PacketError expected;
  };
  const std::vector<Case> cases = {
      {{}, PacketError::kTooShort},
      {Cut(19), PacketError::kTooShort},
      {Cut(39), PacketError::kBadTotalLength},
      {Changed(0, 0x05), PacketError::kBadVersion},
      {Changed(0, 0x44), PacketError::kBadHeaderLength},
      {Changed(0, 0x4f), PacketError::kBadHeaderLength},
      {Changed(2, 0xff), PacketError::kBadTotalLength},
      {Changed(3, 19), PacketError::kBadTotalLength},
      {Changed(3, 30), PacketError::kTooShort},
      {Changed(6, 0x20), PacketError::kFragment},
      {Changed(7, 0x01), PacketError::kFragment},
      {Changed(9, 1), PacketError::kUnsupportedProtocol},
      // As IPv6: a payload length of 0 and next header 0.
      {Changed(0, 0x65), PacketError::kUnsupportedProtocol},
  };
  Bytes long_ipv6 = GoodPacket(0);
  long_ipv6[0] = 0x60;
  long_ipv6[5] = 1;
  CHECK(ParsePacket(long_ipv6).error == PacketError::kBadTotalLength);
  for (const Case& item : cases) {
    CHECK(ParsePacket(item.packet).error == item.expected);
  }
}

TEST_CASE("no bytes make the parser read outside of them") {
  CHECK(rc::check([](const Bytes& tail, uint8_t first) {
    Bytes packet = {first};
    packet.insert(packet.end(), tail.begin(), tail.end());
    ParsePacket(packet);
    DecodeRelayHeader(packet);
  }));
}

TEST_CASE("a relay header survives its wire form") {
  const RelayHeader header{.purpose = RelayPurpose::kRecord,
                           .hops = 3,
                           .phase = FlowPhase::kClosing,
                           .sender_keeps_copy = true,
                           .generation = 77,
                           .upstream = 123456,
                           .keeper_domain = 4,
                           .visited = {7, 8, 9},
                           .searched = {5}};
  CHECK(DecodeRelayHeader(Encode(header)) == header);
  auto bytes = Encode(header);
  bytes[0] = 2;
  CHECK_FALSE(DecodeRelayHeader(bytes));
  bytes = Encode(header);
  bytes[1] = 9;
  CHECK_FALSE(DecodeRelayHeader(bytes));
  CHECK_FALSE(DecodeRelayHeader(std::span(bytes).first(kRelayHeaderSize - 1)));
}

}  // namespace
}  // namespace poplarsail::steering
