#include "platform/packet_format.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <vector>

namespace lavendertack::platform {
namespace {

std::vector<std::uint8_t> FromHex(const std::string& hex) {
  std::vector<std::uint8_t> bytes;
  std::istringstream in(hex);
  for (unsigned byte = 0; in >> std::hex >> byte;) {
    bytes.push_back(static_cast<std::uint8_t>(byte));
  }
  return bytes;
}

// The example packets of the platform's protocol documentation.
const std::string kOpeningPacket =
    "a1 b2 c3 d5 00 00 10 00 00 00 01 bb 64 40 00 07 9c 41 c6 12 00 01 "
    "00 00 00 00 11 22 33 44 00 00 00 00";
const std::string kResetPacket =
    "00 00 00 00 00 00 20 00 00 00 9c 41 c6 12 00 01 01 bb 64 40 00 07 "
    "00 00 00 00 00 00 00 00 00 00 00 00";

TEST_CASE("an opening packet is decoded") {
  auto bytes = FromHex(kOpeningPacket);
  const auto packet = DecodePacket(bytes);
  REQUIRE(packet);
  REQUIRE(ToString(packet->flow.caller) == "100.64.0.7:40001");
  REQUIRE(ToString(packet->flow.route) == "198.18.0.1:443");
  REQUIRE(packet->opens);
  REQUIRE(packet->sequence == 0x11223344);
  REQUIRE(packet->retransmission == 0);

  SECTION("its retransmissions are numbered") {
    bytes[33] = 2;
    REQUIRE(DecodePacket(bytes)->retransmission == 2);
  }
  SECTION("writing a target's tag changes no other bytes") {
    WriteTag(bytes, {0xdeadbeef});
    REQUIRE(DecodePacket(bytes)->tag.value == 0xdeadbeef);
    auto expected = FromHex(kOpeningPacket);
    expected[22] = 0xde;
    expected[23] = 0xad;
    expected[24] = 0xbe;
    expected[25] = 0xef;
    REQUIRE(bytes == expected);
  }
  SECTION("a reset of the new connection") {
    const reset_bytes reset = EncodeReset(*packet);
    REQUIRE(std::vector<std::uint8_t>(reset.begin(), reset.end()) ==
            FromHex(kResetPacket));
  }
  SECTION("a reset of an open connection has the expected sequence number") {
    bytes[6] = 128;
    bytes[30] = 0x01;
    bytes[33] = 0x09;
    const reset_bytes reset = EncodeReset(*DecodePacket(bytes));
    REQUIRE(reset[26] == 0x01);
    REQUIRE(reset[29] == 0x09);
  }
}

TEST_CASE("bytes that are not one whole packet are refused") {
  auto bytes = FromHex(kOpeningPacket);
  SECTION("a truncated packet") { bytes.pop_back(); }
  SECTION("longer than its length field") { bytes.push_back(0); }
  SECTION("shorter than its length field") { bytes[5] = 1; }
  SECTION("longer than the maximum") {
    bytes.resize(kMaxPacketBytes + 1);
    bytes[4] = (kMaxDataBytes + 1) >> 8;
    bytes[5] = (kMaxDataBytes + 1) & 0xff;
  }
  SECTION("empty") { bytes.clear(); }
  REQUIRE_FALSE(DecodePacket(bytes));
}

TEST_CASE("arbitrary bytes don't crash the decoder") {
  rc::prop("", [](const std::vector<std::uint8_t>& bytes) {
    const auto packet = DecodePacket(bytes);
    if (packet) {
      RC_ASSERT(packet->data_bytes == bytes.size() - kHeaderBytes);
      RC_ASSERT(packet->datagram_bytes == bytes.size());
      RC_ASSERT(EncodeReset(*packet).size() == kHeaderBytes);
    }
  });
  rc::prop("headers with a valid length field are decoded", [] {
    auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(
        kHeaderBytes, rc::gen::arbitrary<std::uint8_t>());
    bytes[4] = 0;
    bytes[5] = 0;
    const auto packet = DecodePacket(bytes);
    RC_ASSERT(packet.has_value());
    WriteTag(bytes, packet->tag);
    RC_ASSERT(DecodePacket(bytes)->tag == packet->tag);
  });
}

TEST_CASE("the prefix of a target is the number in its id") {
  const auto bytes = EncodePrefix({"i-7f3a91c2"});
  REQUIRE(bytes);
  REQUIRE(*bytes == target_prefix_bytes{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
  REQUIRE_FALSE(EncodePrefix({"i-"}));
  REQUIRE_FALSE(EncodePrefix({"i-0123456789abcdef0"}));
  REQUIRE((*EncodePrefix({"i-FFFFFFFFFFFFFFFF"}))[0] == 0xff);
}

}  // namespace
}  // namespace lavendertack::platform
