#include "store/table_records.hpp"

#include "store/bytes.hpp"

namespace marblewharf::store {

std::string encode_row(const row& r) {
  std::string out;
  out.reserve(row_header_size + r.table.size() + r.key.size() + r.value.size());
  put(out, static_cast<std::uint16_t>(r.table.size()));
  put(out, static_cast<std::uint32_t>(r.key.size()));
  put(out, r.expiry);
  out.append(r.table).append(r.key).append(r.value);
  return out;
}

std::optional<row> decode_row(std::string_view body) {
  if (body.size() < row_header_size) return std::nullopt;
  const std::size_t table = get<std::uint16_t>(body, 0), key = get<std::uint32_t>(body, 2);
  if (table + key > body.size() - row_header_size) return std::nullopt;
  return row{body.substr(row_header_size, table), body.substr(row_header_size + table, key),
             body.substr(row_header_size + table + key), get<std::int64_t>(body, 6)};
}

std::string encode_position(const position& p) {
  std::string out;
  put(out, p.segment);
  put(out, p.offset);
  put(out, p.size);
  return out;
}

std::optional<position> decode_position(std::string_view bytes) {
  if (bytes.size() != 16) return std::nullopt;
  return position{get<std::uint64_t>(bytes, 0), get<std::uint32_t>(bytes, 8), get<std::uint32_t>(bytes, 12)};
}

}  // namespace marblewharf::store
