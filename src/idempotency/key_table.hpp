// What is known of each key, and what may happen to it: the state machine of docs/keyed-results.md. Free of
// I/O and clocks: what the disk did and what time it is are handed in. One thread at a time.
//
//   unseen -> held -> intending -> running -> recording -> answered -> aged out
//               \         \           \-> in_doubt -> asking -> recording | in_doubt | unseen
//                \-> unseen \-> unseen (proven never to have run)
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "store/position.hpp"

namespace marblewharf::idempotency {

// A key with its scope, as a hash under the folder's salt. Whether two keys are one is decided by it alone.
struct key_id {
  std::uint64_t low = 0, high = 0;
  bool operator==(const key_id&) const = default;
};

using owner = std::uint32_t;  // the request that leads; 0 = none
using moment = std::int64_t;  // ns of the ageing clock

enum class state : std::uint8_t {
  held,       // its first request waits to run
  intending,  // the intent is on its way to disk
  running,    // handed to a backend, the intent is on disk
  recording,  // the run ended, its result is on its way to disk
  in_doubt,   // it may have run, nobody knows
  asking,     // in doubt, and the backend is being asked
  answered,   // the result is on disk
};

// What a request with a key is to be told or to wait for.
enum class standing {
  first,     // unseen before: it leads, the key is held
  joins,     // shares the outcome of the one that leads
  answered,  // gets the result that stands at `at`
  in_doubt,  // its outcome is unknown
  asks,      // its outcome is unknown, and it leads an inquiry
  conflict,  // the key was used with other content
  no_room,   // nothing can be recorded now
};

struct opinion {
  standing how = standing::first;
  owner leader = 0;                      // joins
  store::position at;                    // answered
  std::chrono::nanoseconds come_back{};  // no_room
};

struct key_table_options {
  std::size_t entries = 1'000'000;  // keys known at once
  std::size_t open = 2048;          // of them held to recording: what waits for the disk is bounded by it
  std::uint64_t intent_room = 0;    // bytes of the largest intent on disk
  std::uint64_t result_room = 0;    // bytes of the largest result on disk
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);
  unsigned inquiry_tries = 0;  // 0 = no backend can be asked
  std::chrono::nanoseconds inquiry_pause{};
};

// What the disk has to say, as of all outcomes that were reported before.
struct disk_state {
  bool writable = false;
  std::uint64_t room = 0;  // bytes that can be written for certain
  moment next_ageing = 0;  // when a segment will give its room back; 0 = unknown
};

class key_table {
 public:
  explicit key_table(key_table_options options) : options_(options) {}

  // From disk, in the order in which it was written. What has aged by `now` is passed over.
  void recover_intent(const key_id& key, std::uint64_t content, moment expiry, moment now);
  void recover_result(const key_id& key, std::uint64_t content, moment expiry, const store::position& at,
                      moment now);
  void recover_release(const key_id& key);
  void recovered();  // all was read

  // A request `id` comes with a key. `window`: how long after now a repeat may come.
  opinion arrive(const key_id& key, std::uint64_t content, owner id, std::chrono::nanoseconds window,
                 moment now);

  // Steps of the one that leads; false: not in the state that this step starts from, nothing was changed.
  bool intend(const key_id& key);
  bool intended(const key_id& key);                                         // it is on disk
  bool record(const key_id& key);                                           // the run ended with a result
  bool recorded(const key_id& key, const store::position& at, moment now);  // it is on disk
  bool doubt(const key_id& key);                                            // nothing will be heard of it
  bool release(const key_id& key);                                          // proven never to have run
  // An inquiry brought nothing. Returns how long to wait before the next; 0 = that was the last one.
  std::chrono::nanoseconds asked_in_vain(const key_id& key, moment now);

  void set_disk(const disk_state& now) { disk_ = now; }
  // Forgets what has aged.
  void age(moment now);

  bool knows(const key_id& key) const { return table_.contains(key); }
  state state_of(const key_id& key) const { return table_.at(key).where; }
  moment expiry_of(const key_id& key) const { return table_.at(key).expiry; }
  std::size_t size() const { return table_.size(); }
  std::size_t buckets() const { return table_.bucket_count(); }
  std::size_t open() const { return open_; }
  std::size_t doubtful() const { return doubtful_; }
  std::uint64_t reserved() const { return reserved_; }

 private:
  struct entry {
    std::uint64_t content = 0;
    moment expiry = 0;
    store::position at;
    owner leader = 0;
    state where = state::held;
    std::uint8_t tries = 0;  // inquiries in a row
    moment ask_after = 0;
  };
  struct hash {
    std::size_t operator()(const key_id& k) const { return k.low; }  // it is a hash already
  };
  using table = std::unordered_map<key_id, entry, hash>;
  struct due {
    moment expiry = 0;
    key_id key;
  };

  static bool is_open(state s) { return s != state::in_doubt && s != state::answered; }
  bool move(const key_id& key, state from, state to);
  void enter(entry& e, state to);
  void erase(table::iterator at);
  std::uint64_t set_aside(state s) const;
  opinion no_room(moment now) const;

  key_table_options options_;
  disk_state disk_;
  table table_;
  // Oldest first, by the length of the window: entries of one length age in the order in which they came.
  std::unordered_map<std::int64_t, std::deque<due>> ageing_;
  std::size_t open_ = 0;
  std::size_t doubtful_ = 0;
  std::uint64_t reserved_ = 0;  // bytes that open entries will still need
};

}  // namespace marblewharf::idempotency
