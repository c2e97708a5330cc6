// The folder of writes over several participants: its rows, and an older program's folder moved up, with
// crashes and failures at each call on the way (ctest -L dependencies).
#include "transaction/log_folder.hpp"

#include <rapidcheck.h>

#include <map>
#include <random>

#include "../check.hpp"
#include "../idempotency/crash_fs.hpp"
#include "store/bytes.hpp"

using namespace marblewharf::transaction;
namespace store = marblewharf::store;

namespace {

constexpr std::int64_t second = 1'000'000'000;
constexpr std::uint64_t segment = 8 << 10;

log_folder_options options(std::uint64_t space = 64 * segment) {
  return {"f", segment, space, std::chrono::seconds(60), 7};
}

std::string id_of(std::uint64_t n) {
  char text[33];
  std::snprintf(text, sizeof text, "%016x%016llx", 0xabcu, static_cast<unsigned long long>(n));
  return text;
}

void rows() {
  CHECK(rc::check("rows say what was put into them, and nothing else is a row", [] {
    const auto text = [] { return *rc::gen::arbitrary<std::string>(); };
    const begun_write w{id_of(*rc::gen::inRange(1, 1'000'000)), text(), text(), text(), text()};
    const std::string begun = *batch_of_begun(w).all().at({open_table, w.id});
    const auto back = read_begun(w.id, begun);
    RC_ASSERT(back && back->request_class == w.request_class && back->key == w.key &&
              back->payload == w.payload && back->endpoints == w.endpoints);
    const std::size_t cut = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(begun.size())));
    RC_ASSERT(!read_begun(w.id, begun.substr(0, cut)) && !read_begun(w.id, begun + "x"));
    const outcome_id o{*rc::gen::arbitrary<std::uint64_t>(),
                       {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()}};
    const auto again = read_outcome_key(outcome_key(o));
    RC_ASSERT(again && again->number == o.number && again->key == o.key);
    const outcome_id p{*rc::gen::arbitrary<std::uint64_t>(), o.key};
    RC_ASSERT((outcome_key(o) < outcome_key(p)) == (o.number < p.number));
    const store::batch over = batch_of_over(w.id, std::pair(o, ended_write{w.key, w.payload}));
    const auto ended = read_ended(*over.all().at({outcome_table, outcome_key(o)}));
    RC_ASSERT(ended && ended->key == w.key && ended->result == w.payload);
    RC_ASSERT(!over.all().at({open_table, w.id}) && !over.all().at({mark_table, w.id}));
  }));
  for (const log_mark m : {log_mark::asked_last, log_mark::decided, log_mark::aborted})
    CHECK(read_mark(*batch_of_mark("x", m).all().at({mark_table, "x"})) == m);
  for (const char* none : {"", "\x01", "\x05", "\x03\x03"}) CHECK(!read_mark(none));
}

// As the older program wrote it.
store::entry older_entry(const begun_write& w, log_mark what, bool committed, bool whole, std::int64_t expiry,
                         const std::string& result = {}) {
  std::string body = w.id;
  store::put(body, expiry);
  store::put(body, static_cast<std::uint32_t>(what));
  store::put(body, static_cast<std::uint32_t>(committed));
  const std::string none;
  for (const std::string* text : {whole ? &w.request_class : &none, whole ? &w.key : &none,
                                  whole ? &w.payload : &result, whole ? &w.endpoints : &none}) {
    store::put(body, static_cast<std::uint32_t>(text->size()));
    body += *text;
  }
  return {{16, body}, expiry};
}

struct model {
  std::map<std::string, log_mark> open;       // by id
  std::map<std::uint64_t, std::string> over;  // by number: the result
  std::map<std::string, begun_write> begun;
};

// A folder of the older program's with `n` writes of which some are under way; it closed at `now`.
model older_folder(crash::fs& fs, unsigned seed, int n, std::int64_t now) {
  std::mt19937 random(seed);
  model m;
  store::log l(
      fs, {"f", segment, 16 * segment, 7}, [](std::uint32_t, std::string_view) { return store::never; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  l.open(second);
  const auto append = [&](const store::entry& e) { l.append(std::span(&e, 1), second); };
  for (int i = 1; i <= n; ++i) {
    const begun_write w{id_of(static_cast<std::uint64_t>(i)), "kurs-meldung", "key" + std::to_string(i),
                        std::string(random() % 400, 'p'),
                        random() % 2 == 0 ? "127.0.0.1:80 127.0.0.1:81" : ""};
    m.begun[w.id] = w;
    append(older_entry(w, log_mark::begun, false, true, now + 50 * second));
    log_mark last = log_mark::begun;
    const auto mark = [&](log_mark what) {
      append(older_entry(w, what, what == log_mark::decided, false, now + 50 * second));
      last = what;
    };
    if (random() % 2 == 0) mark(log_mark::asked_last);
    if (random() % 2 == 0) mark(random() % 3 == 0 ? log_mark::aborted : log_mark::decided);
    // Renewed, perhaps with a mark from before the last one.
    if (random() % 2 == 0)
      append(older_entry(w, random() % 2 == 0 ? last : log_mark::begun, false, true, now + 50 * second));
    if (random() % 2 == 0) {
      m.open[w.id] = last;
      continue;
    }
    const bool committed = last == log_mark::decided, aged = random() % 4 == 0;
    const std::string result(random() % 900, static_cast<char>('a' + i % 26));
    append(older_entry(w, log_mark::over, committed, false, aged ? now - second : now + 50 * second,
                       committed ? result : ""));
    if (committed && !aged) m.over[static_cast<std::uint64_t>(i)] = result;
  }
  return m;
}

void expect(const log_folder& f, const model& m, std::int64_t now) {
  CHECK(f.open.size() == m.open.size() && f.over.size() == m.over.size());
  for (const found_write& w : f.open) {
    CHECK(m.open.contains(w.what.id) && m.open.at(w.what.id) == w.last);
    const begun_write& b = m.begun.at(w.what.id);
    CHECK(w.what.key == b.key && w.what.payload == b.payload && w.what.endpoints == b.endpoints &&
          w.what.request_class == b.request_class);
  }
  std::int64_t before = 0;
  for (const found_outcome& o : f.over) {
    CHECK(m.over.contains(o.what.number) && o.expiry >= before && o.expiry > now);
    before = o.expiry;
    const std::string key = "key" + std::to_string(o.what.number);
    CHECK(o.what.key == hash_of_key(key, f.tables->salt()));
    const auto ended = read_ended(f.tables->get(outcome_table, outcome_key(o.what), now).value());
    CHECK(ended && ended->key == key && ended->result == m.over.at(o.what.number));
  }
}

// All of an older folder is there, once; what ends afterwards stays ended, though the older marks stand until
// they are cleaned away; and the older program refuses the folder.
void moved_up() {
  constexpr std::int64_t now = 1000 * second;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash::fs fs;
    model m = older_folder(fs, seed, 30, now);
    {
      const log_folder f = open_log_folder(fs, options(), now);
      expect(f, m, now);
      CHECK(f.moved >= m.open.size() + m.over.size());
      const std::string id = m.open.begin()->first;
      f.tables->commit(batch_of_over(id, std::nullopt), store::durability::now, now);
      m.open.erase(id);
    }
    {
      const log_folder f = open_log_folder(fs, options(), now + second);
      expect(f, m, now + second);
      CHECK(f.moved == 0);
      for (int i = 0; f.tables->clean_step(now + second); ++i) CHECK(i < 10'000);
      for (int i = 0; i < 200; ++i) {  // some turns of the log, so that the older segments go
        store::batch b;
        b.put("open-for-test", "k", std::string(1000, 'x'));
        CHECK(f.tables->commit(b, store::durability::now, now + second).may);
        while (f.tables->clean_step(now + second)) {
        }
      }
    }
    CHECK(store::inspect_tables(fs, "f", now + second).older == 0);
    expect(open_log_folder(fs, options(), now + second), m, now + second);
    try {
      store::log older(
          fs, {"f", segment, 16 * segment, 7},
          [](std::uint32_t, std::string_view) { return std::int64_t{0}; },
          [](std::uint32_t, std::string_view, const store::position&) {});
      CHECK(false);
    } catch (const store::damaged& e) {
      CHECK(std::string(e.what()).find("format version 2") != std::string::npos);
    }
  }
}

// The power goes, or the disk fails, at each call of the move, and again at some call of the next try: in the
// end all is there, and nothing twice.
void moved_up_with_faults() {
  constexpr std::int64_t now = 1000 * second;
  std::uint64_t faults = 0;
  for (const crash::fault how : {crash::fault::power_loss, crash::fault::error, crash::fault::cut_short}) {
    for (std::uint64_t at = 1;; ++at) {
      crash::fs fs;
      const model m = older_folder(fs, static_cast<unsigned>(at), 12, now);
      std::mt19937 random(static_cast<unsigned>(at));
      bool reached = false;
      for (int tries = 0; tries < 2; ++tries) {
        fs.calls = 0;
        fs.how = how;
        fs.fail_at = tries == 0 ? at : 1 + random() % at;
        try {
          open_log_folder(fs, options(), now);
        } catch (const crash::crashed&) {
          reached = true;
          fs.restart(random);
        } catch (const store::io_error&) {
          reached = true;
        }
        reached = reached || fs.calls >= fs.fail_at;
        fs.fail_at = 0;
      }
      expect(open_log_folder(fs, options(), now), m, now);
      faults += reached;
      if (!reached) break;
    }
  }
  std::printf("%llu faults\n", static_cast<unsigned long long>(faults));
  CHECK(faults > 30);
}

// Where what counts does not fit, the start says so and leaves the folder as it is.
void no_room() {
  constexpr std::int64_t now = 1000 * second;
  crash::fs fs;
  const model m = older_folder(fs, 3, 120, now);
  try {
    open_log_folder(fs, options(store::least_segments * segment), now);
    CHECK(false);
  } catch (const store::io_error& e) {
    CHECK(std::string(e.what()).find("more writes.space") != std::string::npos);
  }
  expect(open_log_folder(fs, options(), now), m, now);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"rows", rows},
                                                   {"moved_up", moved_up},
                                                   {"moved_up_with_faults", moved_up_with_faults},
                                                   {"no_room", no_room}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
