// What a write over several participants has on disk: rows of tables, a batch for each step of its life
// (docs/store.md), and the marks that older programs wrote, from which the same rows are made.
//
// Free of I/O and clocks. Numbers are little-endian but in keys, where they are big-endian, so that order by
// key is order by number.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/tables.hpp"
#include "transaction/outcome_cache.hpp"
#include "transaction/state_machine.hpp"

namespace marblewharf::transaction {

inline constexpr const char* open_table = "open";
inline constexpr const char* mark_table = "mark";
inline constexpr const char* outcome_table = "outcome";
inline constexpr const char* meta_table = "meta";
inline constexpr const char* moved_key = "moved";  // of meta: what an older program left is in the tables

// An id is 32 hexadecimal digits; the second half is the write's number.
inline constexpr std::size_t write_id_size = 32;
std::uint64_t number_of(std::string_view id);

struct begun_write {
  std::string id, request_class, key, payload;
  std::string endpoints;  // of its participants, as host:port with a blank between; empty: the first of each
};
struct ended_write {
  std::string key, result;
};
struct outcome_id {
  std::uint64_t number = 0;
  outcome_cache::key key;  // hash under the folder's salt
};

// Each is durable before anything that follows from it.
store::batch batch_of_begun(const begun_write& w);
store::batch batch_of_mark(const std::string& id, log_mark what);  // between begun and over
// `committed`: its outcome, in the same batch; none: it was undone, and nothing is kept of it.
store::batch batch_of_over(const std::string& id,
                           const std::optional<std::pair<outcome_id, ended_write>>& committed);

// None where the bytes are no such row.
std::optional<begun_write> read_begun(const std::string& id, std::string_view value);
std::optional<log_mark> read_mark(std::string_view value);
std::optional<ended_write> read_ended(std::string_view value);
std::string outcome_key(const outcome_id& o);
std::optional<outcome_id> read_outcome_key(std::string_view key);

// Bytes on disk that a write may take in all.
std::uint64_t room_of_write(std::size_t payload, std::size_t longest_result);

// The hash by which a key is known in a folder.
outcome_cache::key hash_of_key(std::string_view key, std::uint64_t salt);

// The marks of an older program's folder, in their order: the last one of a write counts, and a mark that
// says all of it anew begins it where what it began with has aged.
class older_marks {
 public:
  void take(std::uint32_t type, std::string_view body);
  bool any() const { return any_; }
  // What counts of them at `now`; the last batch says that all is moved, and must be on disk behind all
  // others. Written twice they say the same.
  std::vector<store::batch> moved(std::int64_t now, std::uint64_t salt) const;

 private:
  struct one {
    begun_write begun;
    log_mark last{};
    bool committed = false;
    std::int64_t expiry = 0;
    std::string result;
  };
  bool any_ = false;
  std::map<std::string, one> all_;  // by id
};

}  // namespace marblewharf::transaction
