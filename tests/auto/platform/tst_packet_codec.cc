#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "platform/packet_codec.h"

namespace poplarsail::platform {
namespace {

std::vector<uint8_t> FromHex(const std::string& text) {
  std::vector<uint8_t> bytes;
  for (size_t i = 0; i + 1 < text.size(); i += 3) {
    bytes.push_back(
        static_cast<uint8_t>(std::stoi(text.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

// The platform's examples: an opening packet from 100.64.0.7:40001 to
// 198.18.0.1:443, and the reset that answers it.
const std::string kOpening =
    "00 00 41 9c 01 00 12 c6 07 00 40 64 bb 01 d5 c3 b2 a1 80 00 00 00 "
    "44 33 22 11 00 00 00 00 00 00 00 00";
const std::string kReset =
    "00 00 bb 01 07 00 40 64 01 00 12 c6 41 9c 00 00 00 00 02 00 00 00 "
    "00 00 00 00 00 00 00 00 00 00 00 00";

TEST_CASE("An opening packet is decoded") {
  const auto packet = PacketCodec().Decode(FromHex(kOpening));
  REQUIRE(packet.has_value());
  CHECK(model::ToString(packet->key.client) == "100.64.0.7:40001");
  CHECK(model::ToString(packet->key.listener) == "198.18.0.1:443");
  CHECK(packet->is_syn);
  CHECK_FALSE(packet->is_fin);
  CHECK_FALSE(packet->is_rst);
  CHECK(packet->retransmit_count == 0);
  CHECK(packet->sequence == 0x11223344);
  CHECK(packet->tag == 0);
  CHECK(packet->data_bytes == 0);
}

TEST_CASE("A reset names the flow from its other end") {
  const PacketCodec codec;
  const auto packet = codec.Decode(FromHex(kOpening));
  REQUIRE(packet.has_value());
  const entry::PacketHead reset = codec.EncodeReset(*packet);
  CHECK(std::vector<uint8_t>(reset.view().begin(), reset.view().end()) ==
        FromHex(kReset));
}

TEST_CASE("A reset of an open flow lies within the caller's window") {
  flows::FlowPacket packet;
  packet.ack_number = 0x01020304;
  const entry::PacketHead reset = PacketCodec().EncodeReset(packet);
  CHECK(std::vector<uint8_t>(reset.bytes.begin() + 22,
                             reset.bytes.begin() + 26) ==
        std::vector<uint8_t>{4, 3, 2, 1});
}

TEST_CASE("Toward an upstream only id and tag are added") {
  const PacketCodec codec;
  const std::vector<uint8_t> datagram = FromHex(kOpening);
  const entry::PacketHead head =
      codec.EncodeForUpstream(datagram, 0x7f3a91c2, 0xaabbccdd);
  std::vector<uint8_t> expected = FromHex("00 00 00 00 7f 3a 91 c2 ");
  expected.insert(expected.end(), datagram.begin(), datagram.end() - 4);
  for (const uint8_t byte : {0xdd, 0xcc, 0xbb, 0xaa}) {
    expected.push_back(byte);
  }
  CHECK(std::vector<uint8_t>(head.view().begin(), head.view().end()) ==
        expected);
}

TEST_CASE("Data is passed on untouched") {
  std::vector<uint8_t> datagram = FromHex(kOpening);
  datagram[0] = 3;
  datagram[18] = 4;
  datagram.insert(datagram.end(), {7, 8, 9});
  const PacketCodec codec;
  const auto packet = codec.Decode(datagram);
  REQUIRE(packet.has_value());
  CHECK_FALSE(packet->is_syn);
  CHECK(packet->data_bytes == 3);
  const auto data = codec.Data(datagram);
  CHECK(std::vector<uint8_t>(data.begin(), data.end()) ==
        std::vector<uint8_t>{7, 8, 9});
}

TEST_CASE("What is no whole packet is refused") {
  const std::vector<uint8_t> whole = FromHex(kOpening);
  std::vector<uint8_t> datagram = whole;
  SECTION("empty") {
    datagram.clear();
  }
  SECTION("cut in the head") {
    datagram.resize(33);
  }
  SECTION("data is missing") {
    datagram[0] = 1;
  }
  SECTION("data is more than stated") {
    datagram.push_back(0);
  }
  CHECK_FALSE(PacketCodec().Decode(datagram).has_value());
}

}  // namespace
}  // namespace poplarsail::platform
