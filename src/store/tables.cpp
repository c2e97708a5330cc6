#include "store/tables.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <tuple>

#include "store/table_records.hpp"

namespace marblewharf::store {
namespace {

constexpr const char* unfinished_backup = "/backup.part";
constexpr std::chrono::nanoseconds retry = std::chrono::milliseconds(500);

std::uint64_t record_bytes(std::size_t body) {
  return record_head + padded(body);
}
std::uint64_t record_bytes(const std::string& table, const std::string& key, std::size_t value) {
  return record_bytes(row_head + table.size() + key.size() + value);
}

constexpr std::int64_t rounds_a_life = 16;
std::int64_t shortest_life(const std::map<std::string, std::chrono::nanoseconds>& life) {
  std::chrono::nanoseconds least = std::chrono::hours(24);
  for (const auto& [table, one] : life) least = std::min(least, one);
  return least.count();
}

bool aged(std::int64_t expiry, std::int64_t now) {
  return expiry != 0 && now >= expiry;
}

row row_of(std::string_view body, const std::string& where) {
  const auto r = decode_row(body);
  if (!r) throw damaged(where + ": no record of a table");
  return *r;
}

std::string where_in(const position& p) {
  return log::file_name(p.segment) + " at byte " + std::to_string(p.offset);
}

bool of_a_table(std::uint32_t type) {
  return type == static_cast<std::uint32_t>(table_record::put) ||
         type == static_cast<std::uint32_t>(table_record::erase);
}

// One record of the log, as a start reads it.
void replay(versions& to, std::uint32_t type, std::string_view body, const position& at, sequence s) {
  const bool put = type == static_cast<std::uint32_t>(table_record::put);
  const row r = row_of(body, where_in(at));
  const std::string table(r.table), key(r.key);
  if (put) {
    to.put(table, key, {at, r.expiry, at.size, nullptr}, s);
  } else {
    to.erase(table, key, s);
  }
}

void enter(versions& to, std::string_view entry) {
  const row r = row_of(entry, "checkpoint");
  const auto at = decode_position(r.value);
  if (!at) throw damaged("checkpoint: an entry without a place");
  to.put(std::string(r.table), std::string(r.key), {*at, r.expiry, at->size, nullptr}, 0);
}

std::uint64_t copy(file_system& fs, const std::string& from, std::uint64_t size, const std::string& to) {
  const std::string bytes = fs.read(from, 0, size);
  if (bytes.size() != size) throw io_error(from + ": shorter than it was");
  const auto f = fs.create(to, std::max<std::uint64_t>(size, 1));
  f->write_at(0, bytes);
  f->sync();
  return size;
}

void expect_empty(file_system& fs, const std::string& folder) {
  fs.make_folder(folder);
  if (!fs.list(folder).empty()) throw io_error(folder + ": holds something already");
}

}  // namespace

// ---- Start
// ----------------------------------------------------------------------------------------------------

tables::tables(file_system& fs, tables_options o, std::int64_t now)
    : fs_(fs), options_(std::move(o)), cleaning_(options_.disk) {
  log_options l{options_.folder, options_.disk.segment, options_.disk.space, options_.salt, {},
                format::tables};
  l.from = [this]() -> std::optional<position> {
    found_ = read_checkpoint(fs_, options_.folder, [this](std::string_view entry) { enter(index_, entry); });
    if (!found_ || !found_->fault.empty()) return std::nullopt;
    return found_->from;
  };
  log_ = std::make_unique<log>(
      fs_, std::move(l), [](std::uint32_t, std::string_view) { return never; },
      [this](std::uint32_t type, std::string_view body, const position& at) {
        if (of_a_table(type)) {
          replay(index_, type, body, at, ++last_);
        } else if (options_.older) {
          options_.older(type, body);
        } else {
          throw damaged(where_in(at) + ": no record of a table");
        }
      });
  if (found_ && found_->fault.empty()) {
    if (found_->salt != log_->salt()) throw damaged(options_.folder + "/checkpoint: of another folder");
    const std::uint64_t newest = log_->end().segment;
    const std::uint64_t end = log_->end_of(found_->from.segment);
    if (found_->from.segment > newest || (end > 0 && end < found_->from.offset))
      throw damaged(options_.folder + ": the log ends before its checkpoint");
  }
  // What was written over or erased behind the checkpoint, and whose later records are cleaned away as well:
  // its own segment went before theirs.
  if (log_->oldest() != 0) index_.forget_before(log_->oldest());
  figures_.read = log_->counts().records;
  if (found_) figures_.checkpoint_fault = found_->fault;
  if (found_ && found_->fault.empty()) checkpointed_ = found_->from;
  latest_ = log_->counts().latest;
  try {
    reopen(moment(now));
  } catch (const io_error&) {  // what it holds can be read; the next write tries again
  }
}

tables::~tables() = default;

std::int64_t tables::moment(std::int64_t now) const {
  return std::max(now, latest_);
}

void tables::reopen(std::int64_t now) {
  latest_ = moment(now);
  if (!log_->is_open()) log_->open(latest_);
}

// ---- Writing
// --------------------------------------------------------------------------------------------------

std::uint64_t tables::lazy_most() const {
  return std::min(options_.lazy_bytes, log_->largest_frame() - frame_head);
}

sizes tables::disk() const {
  const std::uint64_t room = log_->room_in_all();
  return {log_->used(), index_.live_bytes(), room > waiting_bytes_ ? room - waiting_bytes_ : 0};
}

std::uint64_t tables::bytes_of(const batch& b) const {
  std::uint64_t bytes = 0;
  for (const auto& [where, value] : b.all()) {
    const auto& [table, key] = where;
    if (table.empty() || table.size() > longest_table_name)
      throw std::invalid_argument("a table's name: 1 to 255 bytes");
    if (key.size() > options_.longest_key)
      throw std::invalid_argument("a key of " + std::to_string(key.size()) + " bytes");
    bytes += record_bytes(table, key, value ? value->size() : 0);
  }
  if (frame_head + bytes > options_.disk.segment / 4)  // the largest frame
    throw std::invalid_argument("a batch of " + std::to_string(bytes) +
                                " bytes: over a quarter of a segment");
  return bytes;
}

tables::growth tables::growth_of(const batch& b) const {
  growth g;
  for (const auto& [where, value] : b.all()) {
    const place* p = index_.find(where.first, where.second);
    if (p != nullptr) g.bytes -= static_cast<std::int64_t>(p->bytes);
    if (!value) continue;
    g.bytes += static_cast<std::int64_t>(record_bytes(where.first, where.second, value->size()));
    g.keys += p == nullptr;
  }
  return g;
}

// Beside others of a group that are not in the index yet: they count as if all their keys were new to each
// other.
verdict tables::verdict_of(const batch& b, std::uint64_t beside, std::int64_t growing,
                           std::size_t fresh_keys) const {
  const growth g = growth_of(b);
  if (g.keys > 0 && index_.keys() + fresh_keys + g.keys > options_.most_keys) return {false, std::nullopt};
  if (!log_->is_open()) return {false, retry};
  sizes s = disk();
  s.room = s.room > beside ? s.room - beside : 0;
  return cleaning_.of(s, frame_head + bytes_of(b),
                      g.bytes > 0 ? g.bytes + std::max<std::int64_t>(growing, 0) : g.bytes);
}

verdict tables::may_write(const batch& b) const {
  return verdict_of(b, 0, 0, 0);
}

std::vector<tables::pending> tables::records_of(const batch& b, sequence seq) const {
  std::vector<pending> out;
  for (const auto& [where, value] : b.all()) {
    pending p{where.first, where.second, {}, seq, 0, !value};
    const auto life = options_.life.find(p.table);
    if (value && life != options_.life.end()) p.expiry = latest_ + life->second.count();
    const table_record type = value ? table_record::put : table_record::erase;
    p.what = {{static_cast<std::uint32_t>(type),
               encode_row({p.table, p.key, value ? *value : std::string(), p.expiry})},
              never};
    out.push_back(std::move(p));
  }
  return out;
}

verdict tables::commit(const batch& b, durability how, std::int64_t now) {
  if (how == durability::now || bytes_of(b) > lazy_most()) {
    const committed c = commit_all({&b}, now).front();
    if (!c.fault.empty()) throw io_error(c.fault);
    return c.v;
  }
  if (b.empty()) return {true, std::nullopt};
  const std::uint64_t bytes = bytes_of(b);
  try {
    reopen(now);
    if (waiting_bytes_ + bytes > lazy_most()) flush(now);
  } catch (const io_error&) {
    return {false, retry};
  }
  if (const verdict v = may_write(b); !v.may) return v;
  if (waiting_.empty()) waiting_since_ = latest_;
  for (pending& p : records_of(b, ++last_)) {
    if (p.erased) {
      index_.erase(p.table, p.key, p.seq);
    } else {
      const auto value = std::make_shared<const std::string>(row_of(p.what.what.body, p.table).value);
      index_.put(p.table, p.key, {{}, p.expiry, record_bytes(p.what.what.body.size()), value}, p.seq);
    }
    waiting_.push_back(std::move(p));
  }
  waiting_bytes_ += bytes;
  figures_.written += bytes;
  return {true, std::nullopt};
}

std::vector<tables::committed> tables::commit_all(const std::vector<const batch*>& all, std::int64_t now) {
  for (const batch* b : all) expect_possible(*b);  // before any of them is written
  std::vector<committed> out(all.size());
  std::size_t done = 0;
  while (done < all.size()) {
    // One frame: what waits, and as many of the group as fit.
    std::vector<pending> frame;
    std::vector<std::size_t> in_it;
    std::uint64_t bytes = 0;
    growth grown;
    try {
      reopen(now);
    } catch (const io_error&) {
      for (; done < all.size(); ++done) out[done].v = {false, retry};
      return out;
    }
    sequence seq = last_;
    std::size_t next = done;
    for (; next < all.size(); ++next) {
      const batch& b = *all[next];
      const std::uint64_t more = bytes_of(b);
      const std::uint64_t waiting = in_it.empty() ? 0 : waiting_bytes_;
      if (!in_it.empty() && frame_head + waiting + bytes + more > log_->largest_frame()) break;
      out[next].v = b.empty() ? verdict{true, std::nullopt} : verdict_of(b, bytes, grown.bytes, grown.keys);
      if (!out[next].v.may || b.empty()) continue;
      const growth g = growth_of(b);
      grown = {grown.bytes + g.bytes, grown.keys + g.keys};
      for (pending& p : records_of(b, ++seq)) frame.push_back(std::move(p));
      in_it.push_back(next);
      bytes += more;
    }
    done = next;
    if (in_it.empty()) continue;
    try {
      if (frame_head + waiting_bytes_ + bytes > log_->largest_frame()) flush(now);
      const std::size_t before = waiting_.size();
      waiting_.insert(waiting_.end(), std::make_move_iterator(frame.begin()),
                      std::make_move_iterator(frame.end()));
      try {
        append(waiting_, now);
      } catch (const io_error&) {
        waiting_.resize(before);
        throw;
      }
      waiting_.clear();
      waiting_bytes_ = 0;
      last_ = seq;
      figures_.written += bytes;
    } catch (const io_error& e) {
      for (const std::size_t i : in_it) out[i].fault = e.what();
    }
  }
  return out;
}

// One frame. The index follows once it is on disk.
void tables::append(const std::vector<pending>& all, std::int64_t now) {
  reopen(now);
  std::vector<entry> entries;
  entries.reserve(all.size());
  for (const pending& p : all) entries.push_back(p.what);
  const std::vector<position> at = log_->append(entries, latest_);
  ++figures_.frames;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const pending& p = all[i];
    if (p.seq <= last_) {
      index_.on_disk(p.table, p.key, p.seq, at[i]);
    } else if (p.erased) {
      index_.erase(p.table, p.key, p.seq);
    } else {
      index_.put(p.table, p.key, {at[i], p.expiry, at[i].size, nullptr}, p.seq);
    }
  }
}

void tables::flush(std::int64_t now) {
  reopen(now);
  if (waiting_.empty()) return;
  append(waiting_, now);
  waiting_.clear();
  waiting_bytes_ = 0;
}

std::optional<std::int64_t> tables::flush_due() const {
  if (waiting_.empty()) return std::nullopt;
  return waiting_since_ + options_.lazy_time.count();
}

// ---- Reading
// --------------------------------------------------------------------------------------------------

std::optional<sequence> tables::sequence_of(std::optional<snapshot> of) const {
  if (!of) return std::nullopt;
  const auto s = snapshots_.find(*of);
  if (s == snapshots_.end()) throw std::out_of_range("the snapshot has ended");
  return s->second.of;
}

const place* tables::visible(const place* p, std::int64_t now) const {
  return p != nullptr && !aged(p->expiry, moment(now)) ? p : nullptr;
}

std::string tables::value_at(const place& p) const {
  if (p.waiting != nullptr) return *p.waiting;
  const std::string body = log_->read(p.at);
  return std::string(row_of(body, where_in(p.at)).value);
}

std::optional<std::string> tables::get(const std::string& table, const std::string& key, std::int64_t now,
                                       std::optional<snapshot> of) const {
  const place* p = visible(index_.find(table, key, sequence_of(of)), now);
  return p == nullptr ? std::nullopt : std::optional(value_at(*p));
}

void tables::scan(const std::string& table, const std::string& from, const std::string& to, std::int64_t now,
                  std::optional<snapshot> of,
                  const std::function<bool(const std::string&, const std::string&)>& each) const {
  index_.scan(table, from, to, sequence_of(of), [&](const std::string& key, const place& p) {
    return visible(&p, now) == nullptr || each(key, value_at(p));
  });
}

void tables::each_key(const std::string& table, std::int64_t now,
                      const std::function<void(const std::string&, std::int64_t)>& each) const {
  index_.scan(table, "", "", std::nullopt, [&](const std::string& key, const place& p) {
    if (visible(&p, now) != nullptr) each(key, p.expiry);
    return true;
  });
}

tables::snapshot tables::open_snapshot(std::int64_t now) {
  latest_ = moment(now);
  end_old_snapshots(latest_);
  snapshots_[++last_snapshot_] = {index_.open_snapshot(), latest_};
  return last_snapshot_;
}

void tables::close_snapshot(snapshot s) {
  const auto at = snapshots_.find(s);
  if (at == snapshots_.end()) return;
  index_.close_snapshot(at->second.of);
  snapshots_.erase(at);
}

// Guards against one that is forgotten: what it sees cannot be cleaned away.
void tables::end_old_snapshots(std::int64_t now) {
  while (!snapshots_.empty() && now - snapshots_.begin()->second.since > options_.longest_snapshot.count())
    close_snapshot(snapshots_.begin()->first);
}

// ---- Cleaning
// -------------------------------------------------------------------------------------------------

tables::wanted_segment tables::oldest_wanted() const {
  const std::uint64_t number = log_->oldest();
  if (cleaned_ || backup_ || number == 0 || !cleaning_.wanted(disk())) return {};
  return {number, log_->end_of(number)};
}

tables::read_ahead tables::read_segment(file_system& fs, const std::string& folder,
                                        const wanted_segment& which) {
  read_ahead r;
  r.number = which.number;
  const std::string path = folder + "/" + log::file_name(which.number);
  r.bytes = fs.read(path, 0, which.end);
  const segment_header h = decode_header(r.bytes, path);
  store::scan(r.bytes, h, which.end, path,
              [&](std::uint32_t type, std::string_view, std::uint64_t offset, std::uint64_t size) {
                // An erasure has nothing older left to hide: the segment is the oldest.
                if (type == static_cast<std::uint32_t>(table_record::put))
                  r.puts.push_back(
                      {which.number, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(size)});
              });
  return r;
}

void tables::take(read_ahead r, std::int64_t now) {
  if (!cleaned_ && r.number != 0 && r.number == log_->oldest())
    cleaned_ = cleaned_segment{std::move(r), 0, moment(now), 0};
}

bool tables::clean_step(std::int64_t now) {
  latest_ = moment(now);
  end_old_snapshots(latest_);
  held_by_snapshot_ = false;
  if (backup_) return false;
  // Guards against counting on what a crash may take back: a record written over in memory only still counts
  // on disk.
  flush(now);
  if (!cleaned_) {
    const wanted_segment next = oldest_wanted();
    if (next.number == 0) return false;
    take(read_segment(fs_, options_.folder, next), latest_);
  }
  cleaned_segment& c = *cleaned_;
  std::vector<entry> copies;
  std::vector<std::pair<std::string, std::string>> keys;
  std::uint64_t bytes = 0;
  const std::uint64_t most = std::min(options_.slice_bytes, log_->largest_frame() - frame_head);
  std::size_t at = c.at;
  for (; at < c.read.puts.size(); ++at) {
    const position& p = c.read.puts[at];
    std::uint32_t type = 0;
    const std::string_view body =
        decode_record(std::string_view(c.read.bytes).substr(p.offset, p.size), type, where_in(p));
    const row r = row_of(body, where_in(p));
    const std::string table(r.table), key(r.key);
    const versions::standing s = index_.at(table, key, p);
    if (s == versions::standing::none) continue;
    if (s == versions::standing::seen_by_snapshot) {
      held_by_snapshot_ = true;
      break;
    }
    if (aged(r.expiry, latest_)) {
      index_.erase(table, key, ++last_);
      continue;
    }
    if (!copies.empty() && bytes + p.size > most) break;
    copies.push_back({{type, std::string(body)}, never});
    keys.emplace_back(table, key);
    bytes += p.size;
  }
  if (!copies.empty()) {
    const std::vector<position> to = log_->append(copies, latest_);
    for (std::size_t i = 0; i < to.size(); ++i) index_.move(keys[i].first, keys[i].second, to[i]);
    c.copied += bytes;
    figures_.copied += bytes;
  }
  const bool moved = at > c.at;
  c.at = at;
  if (at < c.read.puts.size()) return moved;
  const std::uint64_t freed = c.read.bytes.size();
  log_->drop(c.read.number);
  ++figures_.cleaned;
  cleaning_.on_cleaned(freed, c.copied, std::chrono::nanoseconds(latest_ - c.since));
  cleaned_.reset();
  return true;
}

bool tables::age_step(std::int64_t now) {
  latest_ = moment(now);
  if (age_at_.first.empty()) {  // a table's name never is
    if (latest_ < next_round_) return false;
    next_round_ = latest_ + shortest_life(options_.life) / rounds_a_life;
  }
  for (std::size_t i = 0; i < options_.slice; ++i) {
    const auto next = index_.behind(age_at_.first, age_at_.second);
    if (!next) {
      age_at_ = {};
      return false;
    }
    age_at_ = *next;
    const place* p = index_.find(next->first, next->second);
    if (p != nullptr && aged(p->expiry, latest_) && p->waiting == nullptr)
      index_.erase(next->first, next->second, ++last_);
  }
  return true;
}

// ---- Checkpoints
// ----------------------------------------------------------------------------------------------

bool tables::checkpoint_step(std::int64_t now) {
  try {
    flush(now);
    if (checkpoint_ == nullptr) {
      if (log_->end() == checkpointed_) return false;
      checkpoint_from_ = log_->end();
      constexpr std::uint64_t beside_keys = 128;
      checkpoint_ = std::make_unique<checkpoint_writer>(fs_, options_.folder, log_->salt(), log_->end(),
                                                        index_.keys() * beside_keys);
      checkpoint_at_ = {};
    }
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < options_.slice; ++i) {
      const auto next = index_.behind(checkpoint_at_.first, checkpoint_at_.second);
      if (!next) {
        checkpoint_->add(entries);
        checkpoint_->finish();
        checkpoint_.reset();
        checkpointed_ = checkpoint_from_;
        ++figures_.checkpoints;
        return false;
      }
      checkpoint_at_ = *next;
      const place* p = index_.find(next->first, next->second);
      if (p != nullptr && !aged(p->expiry, latest_))
        entries.push_back(encode_row({next->first, next->second, encode_position(p->at), p->expiry}));
    }
    checkpoint_->add(entries);
  } catch (const io_error&) {
    checkpoint_.reset();
    throw;
  }
  return true;
}

// ---- Backup
// ---------------------------------------------------------------------------------------------------

void tables::begin_backup(const std::string& folder) {
  expect_empty(fs_, folder);
  fs_.create(folder + unfinished_backup, 1);
  fs_.sync_folder(folder);
  backup_ = backup{folder, 0};
}

// A segment a slice. What was written before the last slice is in it.
bool tables::backup_step(std::int64_t now) {
  if (!backup_) return false;
  flush(now);
  const std::uint64_t next = log_->next_after(backup_->last);
  const std::string name = log::file_name(next), from = options_.folder + "/" + name;
  if (backup_->last == 0) {
    const segment_header h = decode_header(fs_.read(from, 0, header_size), from);
    if (h.previous != 0) fs_.create(backup_->folder + "/" + log::gone_name(h.previous), 1);
  }
  copy(fs_, from, log_->end_of(next), backup_->folder + "/" + name);
  backup_->last = next;
  if (next != log_->end().segment) return true;
  fs_.sync_folder(backup_->folder);
  fs_.remove(backup_->folder + unfinished_backup);
  fs_.sync_folder(backup_->folder);
  backup_.reset();
  return false;
}

void restore_tables(file_system& fs, const std::string& backup, const std::string& folder, std::int64_t now) {
  const std::vector<std::string> names = fs.list(backup);
  for (const std::string& name : names)
    if (std::string_view(unfinished_backup).substr(1) == name) throw damaged(backup + ": was never finished");
  const inspected before = inspect_tables(fs, backup, now);
  if (before.log.segments == 0) throw damaged(backup + ": no backup");
  expect_empty(fs, folder);
  for (const std::string& name : names) {
    std::string from = backup;
    from += '/';
    from += name;
    std::string to = folder;
    to += '/';
    to += name;
    if (log::number_of(name) || name.ends_with(".seg.aged")) copy(fs, from, fs.size_of(from), to);
  }
  fs.sync_folder(folder);
  if (inspect_tables(fs, folder, now).log.records != before.log.records)
    throw damaged(folder + ": not as " + backup);
}

// ---- Figures
// --------------------------------------------------------------------------------------------------

tables::figures tables::show() const {
  figures f = figures_;
  f.keys = index_.keys();
  f.snapshots = index_.snapshots();
  f.disk = disk();
  f.waiting = waiting_bytes_;
  f.cleaning_wanted = cleaned_.has_value() || cleaning_.wanted(f.disk);
  f.held_by_snapshot = held_by_snapshot_;
  return f;
}

inspected inspect_tables(file_system& fs, const std::string& folder, std::int64_t now,
                         const std::function<void(const std::string&, const std::string&, const std::string&,
                                                  std::int64_t)>& each) {
  inspected found;
  versions all, by_checkpoint;
  sequence s = 0;
  std::uint64_t oldest = 0;
  // Read before the log, as nothing may change here: a folder that a process has is refused below.
  found.checkpoint =
      read_checkpoint(fs, folder, [&](std::string_view entry) { enter(by_checkpoint, entry); });
  const bool whole = found.checkpoint && found.checkpoint->fault.empty();
  found.log = log::inspect(
      fs, folder, [](std::uint32_t, std::string_view) { return never; },
      [&](std::uint32_t type, std::string_view body, const position& at) {
        if (oldest == 0) oldest = at.segment;
        if (!of_a_table(type)) {
          ++found.older;
          return;
        }
        replay(all, type, body, at, ++s);
        if (whole && std::pair(at.segment, at.offset) >=
                         std::pair(found.checkpoint->from.segment, found.checkpoint->from.offset))
          replay(by_checkpoint, type, body, at, s);
      },
      format::tables);
  if (whole) by_checkpoint.forget_before(oldest);
  std::string table, key;
  for (auto next = all.behind(table, key); next; next = all.behind(table, key)) {
    std::tie(table, key) = *next;
    const place* p = all.find(table, key);
    if (aged(p->expiry, now)) continue;
    ++found.keys[table];
    if (whole) {
      const place* q = by_checkpoint.find(table, key);
      if (q == nullptr || !(q->at == p->at))
        throw damaged(folder + "/checkpoint: says otherwise than the log");
    }
    if (!each) continue;
    const std::string bytes = fs.read(folder + "/" + log::file_name(p->at.segment), p->at.offset, p->at.size);
    std::uint32_t type = 0;
    each(table, key, std::string(row_of(decode_record(bytes, type, where_in(p->at)), where_in(p->at)).value),
         p->expiry);
  }
  if (whole && by_checkpoint.keys() > all.keys())
    throw damaged(folder + "/checkpoint: has keys that the log has not");
  return found;
}

}  // namespace marblewharf::store
