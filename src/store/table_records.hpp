// What a store of tables writes into its log and its checkpoints: records to bytes and back. No files here.
//
// A body: the length of the table's name (16 bits) and of the key (32 bits), when it ages (64 bits), the
// name, the key, and the value; little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/position.hpp"

namespace marblewharf::store {

enum class table_record : std::uint32_t {
  put = 0x1001,
  erase = 0x1002,
  entry = 0x2001,  // of a checkpoint: what stands where
  end = 0x2002,    // of a checkpoint: it is whole
};

struct row {
  std::string_view table, key, value;
  std::int64_t expiry = 0;
};

constexpr std::size_t row_head = 2 + 4 + 8;
std::string encode_row(const row& r);
// None: the bytes are no row.
std::optional<row> decode_row(std::string_view body);

// The value of a checkpoint's entry.
std::string encode_position(const position& p);
std::optional<position> decode_position(std::string_view bytes);

constexpr std::size_t longest_table_name = 255;

}  // namespace marblewharf::store
