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

const std::string example = from_hex(
    "10 39000000 0300 c4913a5d 192b6f0e 640ad2557c3bf091 0000c441 001c4e0e00000000 001bb70000000000 "
    "903a1c0000000000 0000 01 0000 0000203f 1100"
    "16 1b000000 0300 4d00000000000000 04 52b81e3f0000404085ebd13e0000f042"
    "12 06000000 0500 192b6f0e");

TEST(Decode, TheExampleBatch) {
  const auto records = decode_batch(example);
  ASSERT_EQ(records.size(), 3u);
  EXPECT_EQ(records[0].instance, 3);
  const auto& a = std::get<arrival>(std::get<event>(records[0].content));
  EXPECT_EQ(a.id, 0x5d3a91c4u);
  EXPECT_EQ(a.duplicate_of, 0x0e6f2b19u);
  EXPECT_DOUBLE_EQ(a.reserved_kb, 24.5);
  EXPECT_EQ(a.client_timeout.count(), 240000000);
  EXPECT_EQ(a.expected_work.count(), 12000000);
  EXPECT_EQ(a.read_delay.count(), 1850000);
  EXPECT_EQ(a.rank, 0.625);
  EXPECT_EQ(a.caller, 17u);
  EXPECT_EQ(std::get<timer_fired>(std::get<event>(records[1].content)).gauges.size(), 4u);
  EXPECT_EQ(records[2].instance, 5);
  EXPECT_EQ(std::get<client_cancelled>(std::get<event>(records[2].content)).id, 0x0e6f2b19u);
}

TEST(Decode, EveryCutFrameIsRefused) {
  for (std::size_t size = 1; size < example.size(); ++size) {
    const bool between_records = size == 62 || size == 94;
    if (between_records) {
      EXPECT_NO_THROW(decode_batch(example.substr(0, size)));
    } else {
      EXPECT_THROW(decode_batch(example.substr(0, size)), bad_frame) << size;
    }
  }
}

TEST(Encode, TheExampleActions) {
  std::string out;
  encode(out, 3, start{0x5d3a91c4});
  EXPECT_EQ(out, from_hex("15 06000000 0300 c4913a5d"));
  out.clear();
  encode(out, 3, reject{0x0e6f2b19, duration{0x0ee6b280}, true});
  EXPECT_EQ(out, from_hex("10 0f000000 0300 192b6f0e 80b2e60e00000000 01"));
}

// Every byte of the example in turn takes a few hostile values: a decode either works or says what is wrong.
TEST(Decode, CorruptedFramesAreDecodedOrRefused) {
  for (std::size_t at = 0; at < example.size(); ++at) {
    for (const int value : {0, 1, 0x7f, 0x80, 0xff}) {
      std::string bytes = example;
      bytes[at] = static_cast<char>(value);
      try {
        EXPECT_LE(decode_batch(bytes).size(), 20u);
      } catch (const bad_frame& e) {
        EXPECT_NE(std::string(e.what()).find("at byte"), std::string::npos);
      }
    }
  }
}

TEST(Decode, ExtraBytesAndUnknownCodesAreSkipped) {
  const auto records = decode_batch(from_hex("12 08000000 0500 192b6f0e aabb  63 04000000 0300 0102"));
  ASSERT_EQ(records.size(), 2u);
  EXPECT_EQ(std::get<client_cancelled>(std::get<event>(records[0].content)).id, 0x0e6f2b19u);
  EXPECT_EQ(std::get<unknown_record>(records[1].content).code, 0x63u);
}

TEST(Settings, AbsentOnesHaveDefaults) {
  const settings s =
      parse_settings("Extra.NCores=4\nClasses.count=1\nClasses.0.Deadline=1000000000\nNew.Key=x\n");
  EXPECT_EQ(s.cores, 4u);
  EXPECT_EQ(s.signal, signal_kind::none);
  EXPECT_EQ(s.halt, halt_mode::none);
  EXPECT_TRUE(s.tenants.empty());
  EXPECT_NO_THROW(policy(s, 1, duration{0}));
}

TEST(Settings, ListsOfDifferingLengthsAreNamed) {
  EXPECT_THROW(parse_settings("Classes.count=1\nClasses.0.Deadline=1\nExtra.ClassCalls=true,false\n"),
               std::invalid_argument);
}

TEST(Settings, AnUnreadableNumberIsNamed) {
  try {
    parse_settings("Classes.count=1\nClasses.0.Deadline=soon\n");
    FAIL();
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("Classes.0.Deadline"), std::string::npos);
  }
}

}  // namespace
}  // namespace admission_policy::wire
