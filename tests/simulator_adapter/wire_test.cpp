// Tests of the simulator's wire protocol: decoding of events, encoding of actions, and rejection of truncated
// or corrupted input.
#include "simulator_adapter/wire.hpp"

#include <gtest/gtest.h>

namespace admission_policy::wire {
namespace {

std::string from_hex(std::string_view hex) {
  std::string bytes;
  int high = -1;
  for (const char c : hex) {
    if (c == ' ') continue;
    const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
    if (high < 0) {
      high = digit;
    } else {
      bytes.push_back(static_cast<char>(high * 16 + digit));
      high = -1;
    }
  }
  return bytes;
}

// A batch with an arrival, a timer_fired and a client_cancelled record.
const std::string example = from_hex(
    "10 39000000 0300 c4913a5d 192b6f0e 640ad2557c3bf091 0000c441 001c4e0e00000000 001bb70000000000 "
    "903a1c0000000000 0000 01 0000 0000203f 1100"
    "16 1b000000 0300 4d00000000000000 04 52b81e3f0000404085ebd13e0000f042"
    "12 06000000 0500 192b6f0e");

TEST(Decode, ReadsTheExampleBatch) {
  const auto records = decode_batch(example);
  ASSERT_EQ(records.size(), 3u);
  EXPECT_EQ(records[0].instance, 3);
  const auto& decoded = std::get<arrival>(std::get<event>(records[0].content));
  EXPECT_EQ(decoded.id, 0x5d3a91c4u);
  EXPECT_EQ(decoded.duplicate_of, 0x0e6f2b19u);
  EXPECT_DOUBLE_EQ(decoded.reserved_kb, 24.5);
  EXPECT_EQ(decoded.client_timeout.count(), 240000000);
  EXPECT_EQ(decoded.expected_work.count(), 12000000);
  EXPECT_EQ(decoded.read_delay.count(), 1850000);
  EXPECT_EQ(decoded.rank, 0.625);
  EXPECT_EQ(decoded.caller, 17u);
  EXPECT_EQ(std::get<timer_fired>(std::get<event>(records[1].content)).gauges.size(), 4u);
  EXPECT_EQ(records[2].instance, 5);
  EXPECT_EQ(std::get<client_cancelled>(std::get<event>(records[2].content)).id, 0x0e6f2b19u);
}

TEST(Decode, TruncatedBatchIsRejected) {
  for (std::size_t size = 1; size < example.size(); ++size) {
    const bool between_records = size == 62 || size == 94;
    if (between_records) {
      EXPECT_NO_THROW(decode_batch(example.substr(0, size)));
    } else {
      EXPECT_THROW(decode_batch(example.substr(0, size)), bad_frame) << size;
    }
  }
}

TEST(Encode, WritesTheExampleActions) {
  std::string out;
  encode(out, 3, start{0x5d3a91c4});
  EXPECT_EQ(out, from_hex("15 06000000 0300 c4913a5d"));
  out.clear();
  encode(out, 3, reject{0x0e6f2b19, duration{0x0ee6b280}, true});
  EXPECT_EQ(out, from_hex("10 0f000000 0300 192b6f0e 80b2e60e00000000 01"));
}

// Corrupted input must not crash the decoder: each byte of the example is replaced by a few values, and the
// batch is either decoded or rejected with the position of the error.
TEST(Decode, CorruptedBatchIsDecodedOrRejected) {
  for (std::size_t offset = 0; offset < example.size(); ++offset) {
    for (const int value : {0, 1, 0x7f, 0x80, 0xff}) {
      std::string bytes = example;
      bytes[offset] = static_cast<char>(value);
      try {
        EXPECT_LE(decode_batch(bytes).size(), 20u);
      } catch (const bad_frame& error) {
        EXPECT_NE(std::string(error.what()).find("at byte"), std::string::npos);
      }
    }
  }
}

TEST(Decode, ExtraBytesAreSkippedAndUnknownCodesReported) {
  const auto records = decode_batch(from_hex("12 08000000 0500 192b6f0e aabb  63 04000000 0300 0102"));
  ASSERT_EQ(records.size(), 2u);
  EXPECT_EQ(std::get<client_cancelled>(std::get<event>(records[0].content)).id, 0x0e6f2b19u);
  EXPECT_EQ(std::get<unknown_record>(records[1].content).code, 0x63u);
}

TEST(WireSettings, MissingKeysHaveDefaults) {
  const settings parsed =
      parse_settings("Extra.NCores=4\nClasses.count=1\nClasses.0.Deadline=1000000000\nNew.Key=x\n");
  EXPECT_EQ(parsed.cores, 4u);
  EXPECT_EQ(parsed.signal, signal_kind::none);
  EXPECT_EQ(parsed.halt, halt_mode::none);
  EXPECT_TRUE(parsed.tenants.empty());
  EXPECT_NO_THROW(policy(parsed, 1, duration{0}));
}

TEST(WireSettings, ListOfWrongLengthIsRejected) {
  EXPECT_THROW(parse_settings("Classes.count=1\nClasses.0.Deadline=1\nExtra.ClassCalls=true,false\n"),
               std::invalid_argument);
}

TEST(WireSettings, InvalidNumberIsNamedInTheException) {
  try {
    parse_settings("Classes.count=1\nClasses.0.Deadline=soon\n");
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("Classes.0.Deadline"), std::string::npos);
  }
}

}  // namespace
}  // namespace admission_policy::wire
