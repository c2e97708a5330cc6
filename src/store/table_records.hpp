// The records that a store of tables writes into its log and its checkpoints: encoding and decoding. No file
// I/O.
//
// A record's body is, little-endian: the length of the table's name (16 bits), the length of the key (32
// bits), the expiry (64 bits), the name, the key, and the value.
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
  entry = 0x2001,  // of a checkpoint: the position of a row in the log
  end = 0x2002,    // of a checkpoint: marks it as complete
};

struct row {
  std::string_view table, key, value;
  std::int64_t expiry = 0;  // ns; 0 = never
};

constexpr std::size_t row_header_size = 2 + 4 + 8;  // bytes before the name
std::string encode_row(const row& r);
// Returns nothing if the bytes are not a row.
std::optional<row> decode_row(std::string_view body);

// The value of a checkpoint entry.
std::string encode_position(const position& p);
std::optional<position> decode_position(std::string_view bytes);

constexpr std::size_t max_table_name_bytes = 255;  // bytes

}  // namespace marblewharf::store
