#include "transaction/log_records.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "idempotency/records.hpp"
#include "store/bytes.hpp"
#include "store/table_records.hpp"

namespace marblewharf::transaction {
namespace {

void put_text(std::string& out, std::string_view text) {
  store::put(out, static_cast<std::uint32_t>(text.size()));
  out += text;
}

// Takes a text with its length off the front; false: there is none.
bool take_text(std::string_view& in, std::string& out) {
  if (in.size() < 4) return false;
  const std::size_t size = store::get<std::uint32_t>(in, 0);
  if (size > in.size() - 4) return false;
  out = in.substr(4, size);
  in.remove_prefix(4 + size);
  return true;
}

void put_big_endian(std::string& out, std::uint64_t n) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>(n >> shift & 0xff);
}
std::uint64_t get_big_endian(std::string_view in) {
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < 8; ++i) n = n << 8 | static_cast<unsigned char>(in[i]);
  return n;
}

std::uint64_t row_room(std::size_t key, std::size_t value) {
  return store::room_for(store::row_head + store::longest_table_name + key + value);
}

// A mark of before tables: id, expiry, mark, whether it committed; then class, key, payload and endpoints,
// each with its length. What only matters with some marks is empty in others. Marks of before endpoints were
// chosen end after the payload.
struct older_mark {
  std::string id;
  std::int64_t expiry = 0;
  log_mark what{};
  bool committed = false;
  std::string request_class, key, payload, endpoints;
};

std::optional<older_mark> read_older(std::uint32_t type, std::string_view in) {
  constexpr std::uint32_t mark_type = 16;
  constexpr std::size_t fixed = write_id_size + 16;
  if (type != mark_type || in.size() < fixed) return std::nullopt;
  older_mark m;
  m.id = in.substr(0, write_id_size);
  m.expiry = store::get<std::int64_t>(in, write_id_size);
  m.what = static_cast<log_mark>(store::get<std::uint32_t>(in, write_id_size + 8));
  m.committed = store::get<std::uint32_t>(in, write_id_size + 12) != 0;
  in.remove_prefix(fixed);
  for (std::string* text : {&m.request_class, &m.key, &m.payload, &m.endpoints}) {
    if (in.empty() && text == &m.endpoints) break;
    if (!take_text(in, *text)) return std::nullopt;
  }
  return m;
}

}  // namespace

std::uint64_t number_of(std::string_view id) {
  std::uint64_t number = 0;
  if (id.size() == write_id_size)
    std::from_chars(id.data() + write_id_size / 2, id.data() + write_id_size, number, 16);
  return number;
}

store::batch batch_of_begun(const begun_write& w) {
  std::string value;
  for (const std::string* text : {&w.request_class, &w.key, &w.payload, &w.endpoints}) put_text(value, *text);
  store::batch b;
  b.put(open_table, w.id, std::move(value));
  return b;
}

store::batch batch_of_mark(const std::string& id, log_mark what) {
  store::batch b;
  b.put(mark_table, id, std::string(1, static_cast<char>(what)));
  return b;
}

store::batch batch_of_over(const std::string& id,
                           const std::optional<std::pair<outcome_id, ended_write>>& committed) {
  store::batch b;
  b.erase(open_table, id);
  b.erase(mark_table, id);
  if (!committed) return b;
  std::string value;
  put_text(value, committed->second.key);
  put_text(value, committed->second.result);
  b.put(outcome_table, outcome_key(committed->first), std::move(value));
  return b;
}

std::optional<begun_write> read_begun(const std::string& id, std::string_view value) {
  begun_write w;
  w.id = id;
  for (std::string* text : {&w.request_class, &w.key, &w.payload, &w.endpoints})
    if (!take_text(value, *text)) return std::nullopt;
  if (id.size() != write_id_size || !value.empty()) return std::nullopt;
  return w;
}

std::optional<log_mark> read_mark(std::string_view value) {
  if (value.size() != 1) return std::nullopt;
  const auto m = static_cast<log_mark>(value[0]);
  if (m != log_mark::asked_last && m != log_mark::decided && m != log_mark::aborted) return std::nullopt;
  return m;
}

std::optional<ended_write> read_ended(std::string_view value) {
  ended_write e;
  if (!take_text(value, e.key) || !take_text(value, e.result) || !value.empty()) return std::nullopt;
  return e;
}

std::string outcome_key(const outcome_id& o) {
  std::string key;
  for (const std::uint64_t n : {o.number, o.key.high, o.key.low}) put_big_endian(key, n);
  return key;
}

std::optional<outcome_id> read_outcome_key(std::string_view key) {
  if (key.size() != 24) return std::nullopt;
  return outcome_id{get_big_endian(key), {get_big_endian(key.substr(16)), get_big_endian(key.substr(8))}};
}

std::uint64_t room_of_write(std::size_t payload, std::size_t longest_result) {
  constexpr std::size_t names = 1024;  // class, key, endpoints
  constexpr std::uint64_t marks = 3, erased = 2;
  return row_room(write_id_size, payload + names) + (marks + erased) * row_room(write_id_size, 1) +
         row_room(24, names + longest_result);
}

outcome_cache::key hash_of_key(std::string_view key, std::uint64_t salt) {
  const idempotency::key_id h = idempotency::key_id_of({}, {}, key, salt);
  return {h.low, h.high};
}

// ---- Older folders ----------------------------------------------------------------------------------------

void older_marks::take(std::uint32_t type, std::string_view body) {
  any_ = true;
  auto m = read_older(type, body);
  if (!m) return;
  const auto known = all_.find(m->id);
  if (known == all_.end()) {
    // Without a class it carries on a write of which nothing else is left.
    if (m->request_class.empty()) return;
    all_[m->id] = {{m->id, std::move(m->request_class), std::move(m->key), std::move(m->payload),
                    std::move(m->endpoints)},
                   m->what,
                   false,
                   m->expiry,
                   {}};
    return;
  }
  one& w = known->second;
  w.last = std::max(w.last, m->what);
  if (m->what != log_mark::over) return;
  w.committed = m->committed;
  w.expiry = m->expiry;
  w.result = std::move(m->payload);
}

std::vector<store::batch> older_marks::moved(std::int64_t now, std::uint64_t salt) const {
  std::vector<store::batch> out;
  for (const auto& [id, w] : all_) {
    if (w.last != log_mark::over) {
      out.push_back(batch_of_begun(w.begun));
      if (w.last != log_mark::begun) out.push_back(batch_of_mark(id, w.last));
    } else if (w.committed && w.expiry > now) {
      const outcome_id known{number_of(id), hash_of_key(w.begun.key, salt)};
      out.push_back(batch_of_over(id, std::pair(known, ended_write{w.begun.key, w.result})));
    }
  }
  store::batch last;
  last.put(meta_table, moved_key, {});
  out.push_back(std::move(last));
  return out;
}

}  // namespace marblewharf::transaction
