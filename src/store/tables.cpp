#include "store/tables.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <tuple>

#include "store/table_records.hpp"

namespace marblewharf::store {
namespace {

constexpr const char* unfinished_marker = "/backup.part";
constexpr std::chrono::nanoseconds retry_after = std::chrono::milliseconds(500);

std::uint64_t record_bytes(std::size_t body) {
  return record_header_size + padded(body);
}
std::uint64_t record_bytes(const std::string& table, const std::string& key, std::size_t value) {
  return record_bytes(row_header_size + table.size() + key.size() + value);
}

constexpr std::int64_t expiry_passes_per_lifetime = 16;
std::int64_t shortest_lifetime(const std::map<std::string, std::chrono::nanoseconds>& life) {
  std::chrono::nanoseconds shortest = std::chrono::hours(24);
  for (const auto& [table, lifetime] : life) shortest = std::min(shortest, lifetime);
  return shortest.count();
}

bool expired(std::int64_t expiry, std::int64_t now) {
  return expiry != 0 && now >= expiry;
}

row row_of(std::string_view body, const std::string& location) {
  const auto r = decode_row(body);
  if (!r) throw damaged(location + ": the record is not a table row");
  return *r;
}

std::string text_of(const position& location) {
  return log::file_name(location.segment) + " at byte " + std::to_string(location.offset);
}

bool is_table_record(std::uint32_t type) {
  return type == static_cast<std::uint32_t>(table_record::put) ||
         type == static_cast<std::uint32_t>(table_record::erase);
}

// Applies a log record to the index at recovery.
void replay(versions& index, std::uint32_t type, std::string_view body, const position& location,
            sequence commit) {
  const bool put = type == static_cast<std::uint32_t>(table_record::put);
  const row r = row_of(body, text_of(location));
  const std::string table(r.table), key(r.key);
  if (put) {
    index.put(table, key, {location, r.expiry, location.size, nullptr}, commit);
  } else {
    index.erase(table, key, commit);
  }
}

void load_checkpoint_entry(versions& index, std::string_view entry) {
  const row r = row_of(entry, "checkpoint");
  const auto location = decode_position(r.value);
  if (!location) throw damaged("checkpoint: an entry has no valid log position");
  index.put(std::string(r.table), std::string(r.key), {*location, r.expiry, location->size, nullptr}, 0);
}

std::uint64_t copy(file_system& fs, const std::string& path, std::uint64_t size, const std::string& target) {
  const std::string bytes = fs.read(path, 0, size);
  if (bytes.size() != size) throw io_error(path + ": the file is shorter than expected");
  const auto f = fs.create(target, std::max<std::uint64_t>(size, 1));
  f->write_at(0, bytes);
  f->sync();
  return size;
}

void expect_empty(file_system& fs, const std::string& folder) {
  fs.make_folder(folder);
  if (!fs.list(folder).empty()) throw io_error(folder + ": the folder is not empty");
}

}  // namespace

// ---- Recovery ---------------------------------------------------------------------------------------------

tables::tables(file_system& fs, tables_options options, std::int64_t now)
    : fs_(fs), options_(std::move(options)), cleaning_(options_.disk) {
  log_options l{options_.folder, options_.disk.segment, options_.disk.space, options_.salt, {},
                format::tables};
  l.replay_from = [this]() -> std::optional<position> {
    recovered_ = read_checkpoint(fs_, options_.folder,
                                 [this](std::string_view entry) { load_checkpoint_entry(index_, entry); });
    if (!recovered_ || !recovered_->fault.empty()) return std::nullopt;
    return recovered_->replay_from;
  };
  log_ = std::make_unique<log>(
      fs_, std::move(l), [](std::uint32_t, std::string_view) { return no_expiry; },
      [this](std::uint32_t type, std::string_view body, const position& location) {
        if (is_table_record(type)) {
          replay(index_, type, body, location, ++last_commit_);
        } else if (options_.on_legacy_record) {
          options_.on_legacy_record(type, body);
        } else {
          throw damaged(text_of(location) + ": the record is not a table row");
        }
      });
  if (recovered_ && recovered_->fault.empty()) {
    if (recovered_->salt != log_->salt())
      throw damaged(options_.folder + "/checkpoint: belongs to another folder, its salt differs");
    const std::uint64_t newest = log_->end().segment;
    const std::uint64_t end = log_->end_of(recovered_->replay_from.segment);
    if (recovered_->replay_from.segment > newest || (end > 0 && end < recovered_->replay_from.offset))
      throw damaged(options_.folder + ": the log ends before the position of its checkpoint");
  }
  // Removes the keys that the checkpoint places in a deleted segment. Their record was overwritten or erased
  // later, and cleaning deleted the later record too. The oldest segments are deleted first.
  if (log_->oldest_sealed() != 0) index_.discard_before(log_->oldest_sealed());
  figures_.replayed = log_->counts().records;
  if (recovered_) figures_.checkpoint_fault = recovered_->fault;
  if (recovered_ && recovered_->fault.empty()) checkpointed_ = recovered_->replay_from;
  latest_time_ = log_->counts().latest_time;
  try {
    reopen(monotonic(now));
  } catch (const io_error&) {  // reads still work; the next write tries again
  }
}

tables::~tables() = default;

std::int64_t tables::monotonic(std::int64_t now) const {
  return std::max(now, latest_time_);
}

void tables::reopen(std::int64_t now) {
  latest_time_ = monotonic(now);
  if (!log_->is_open()) log_->open(latest_time_);
}

// ---- Writing ----------------------------------------------------------------------------------------------

std::uint64_t tables::buffer_limit() const {
  return std::min(options_.max_buffered_bytes, log_->max_frame_bytes() - frame_head);
}

disk_sizes tables::disk() const {
  const std::uint64_t free = log_->total_free_bytes();
  return {log_->used_bytes(), index_.live_bytes(), free > buffered_bytes_ ? free - buffered_bytes_ : 0};
}

std::uint64_t tables::bytes_of(const batch& changes) const {
  std::uint64_t bytes = 0;
  for (const auto& [row_key, value] : changes.changes()) {
    const auto& [table, key] = row_key;
    if (table.empty() || table.size() > max_table_name_bytes)
      throw std::invalid_argument("table name: must have 1 to 255 bytes");
    if (key.size() > options_.max_key_bytes)
      throw std::invalid_argument("key too long: " + std::to_string(key.size()) + " bytes");
    bytes += record_bytes(table, key, value ? value->size() : 0);
  }
  if (frame_head + bytes > options_.disk.segment / 4)  // log::max_frame_bytes()
    throw std::invalid_argument("batch too large: " + std::to_string(bytes) +
                                " bytes, the limit is a quarter of a segment");
  return bytes;
}

tables::growth tables::growth_of(const batch& changes) const {
  growth g;
  for (const auto& [row_key, value] : changes.changes()) {
    const value_ref* p = index_.find(row_key.first, row_key.second);
    if (p != nullptr) g.bytes -= static_cast<std::int64_t>(p->record_bytes);
    if (!value) continue;
    g.bytes += static_cast<std::int64_t>(record_bytes(row_key.first, row_key.second, value->size()));
    g.keys += p == nullptr;
  }
  return g;
}

// `group_bytes`, `group_growth`, `group_keys`: sums over the batches of the same group that are not in the
// index yet. The sums are taken as if no two of these batches changed the same key.
verdict tables::verdict_of(const batch& changes, std::uint64_t group_bytes, std::int64_t group_growth,
                           std::size_t group_keys) const {
  const growth g = growth_of(changes);
  if (g.keys > 0 && index_.keys() + group_keys + g.keys > options_.max_keys) return {false, std::nullopt};
  if (!log_->is_open()) return {false, retry_after};
  disk_sizes s = disk();
  s.free_bytes = s.free_bytes > group_bytes ? s.free_bytes - group_bytes : 0;
  return cleaning_.admit(s, frame_head + bytes_of(changes),
                         g.bytes > 0 ? g.bytes + std::max<std::int64_t>(group_growth, 0) : g.bytes);
}

verdict tables::check_admission(const batch& changes) const {
  return verdict_of(changes, 0, 0, 0);
}

std::vector<tables::pending> tables::records_of(const batch& changes, sequence commit) const {
  std::vector<pending> out;
  for (const auto& [row_key, value] : changes.changes()) {
    pending p{row_key.first, row_key.second, {}, commit, 0, !value};
    const auto life = options_.lifetimes.find(p.table);
    if (value && life != options_.lifetimes.end()) p.expiry = latest_time_ + life->second.count();
    const table_record type = value ? table_record::put : table_record::erase;
    p.logged = {{static_cast<std::uint32_t>(type),
                 encode_row({p.table, p.key, value ? *value : std::string(), p.expiry})},
                no_expiry};
    out.push_back(std::move(p));
  }
  return out;
}

verdict tables::commit(const batch& changes, durability mode, std::int64_t now) {
  if (mode == durability::now || bytes_of(changes) > buffer_limit()) {
    const committed c = commit_all({&changes}, now).front();
    if (!c.fault.empty()) throw io_error(c.fault);
    return c.result;
  }
  if (changes.empty()) return {true, std::nullopt};
  const std::uint64_t bytes = bytes_of(changes);
  try {
    reopen(now);
    if (buffered_bytes_ + bytes > buffer_limit()) flush(now);
  } catch (const io_error&) {
    return {false, retry_after};
  }
  if (const verdict v = check_admission(changes); !v.accepted) return v;
  if (buffered_.empty()) buffered_since_ = latest_time_;
  for (pending& p : records_of(changes, ++last_commit_)) {
    if (p.erased) {
      index_.erase(p.table, p.key, p.commit);
    } else {
      const auto value = std::make_shared<const std::string>(row_of(p.logged.content.body, p.table).value);
      index_.put(p.table, p.key, {{}, p.expiry, record_bytes(p.logged.content.body.size()), value}, p.commit);
    }
    buffered_.push_back(std::move(p));
  }
  buffered_bytes_ += bytes;
  figures_.written += bytes;
  return {true, std::nullopt};
}

std::vector<tables::committed> tables::commit_all(const std::vector<const batch*>& group, std::int64_t now) {
  for (const batch* changes : group) require_valid(*changes);  // before any of them is written
  std::vector<committed> out(group.size());
  std::size_t done = 0;
  while (done < group.size()) {
    // Each pass writes one frame: the buffered rows and as many batches of the group as fit.
    std::vector<pending> frame;
    std::vector<std::size_t> included;
    std::uint64_t bytes = 0;
    growth frame_growth;
    try {
      reopen(now);
    } catch (const io_error&) {
      for (; done < group.size(); ++done) out[done].result = {false, retry_after};
      return out;
    }
    sequence commit = last_commit_;
    std::size_t next = done;
    for (; next < group.size(); ++next) {
      const batch& changes = *group[next];
      const std::uint64_t batch_bytes = bytes_of(changes);
      const std::uint64_t buffered = included.empty() ? 0 : buffered_bytes_;
      if (!included.empty() && frame_head + buffered + bytes + batch_bytes > log_->max_frame_bytes()) break;
      out[next].result = changes.empty() ? verdict{true, std::nullopt}
                                         : verdict_of(changes, bytes, frame_growth.bytes, frame_growth.keys);
      if (!out[next].result.accepted || changes.empty()) continue;
      const growth g = growth_of(changes);
      frame_growth = {frame_growth.bytes + g.bytes, frame_growth.keys + g.keys};
      for (pending& p : records_of(changes, ++commit)) frame.push_back(std::move(p));
      included.push_back(next);
      bytes += batch_bytes;
    }
    done = next;
    if (included.empty()) continue;
    try {
      if (frame_head + buffered_bytes_ + bytes > log_->max_frame_bytes()) flush(now);
      const std::size_t old_size = buffered_.size();
      buffered_.insert(buffered_.end(), std::make_move_iterator(frame.begin()),
                       std::make_move_iterator(frame.end()));
      try {
        append(buffered_, now);
      } catch (const io_error&) {
        buffered_.resize(old_size);
        throw;
      }
      buffered_.clear();
      buffered_bytes_ = 0;
      last_commit_ = commit;
      figures_.written += bytes;
    } catch (const io_error& e) {
      for (const std::size_t i : included) out[i].fault = e.what();
    }
  }
  return out;
}

// Writes one frame; the index is updated once the frame is on disk.
void tables::append(const std::vector<pending>& rows, std::int64_t now) {
  reopen(now);
  std::vector<entry> entries;
  entries.reserve(rows.size());
  for (const pending& p : rows) entries.push_back(p.logged);
  const std::vector<position> locations = log_->append(entries, latest_time_);
  ++figures_.frames;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const pending& p = rows[i];
    if (p.commit <= last_commit_) {
      index_.mark_on_disk(p.table, p.key, p.commit, locations[i]);
    } else if (p.erased) {
      index_.erase(p.table, p.key, p.commit);
    } else {
      index_.put(p.table, p.key, {locations[i], p.expiry, locations[i].size, nullptr}, p.commit);
    }
  }
}

void tables::flush(std::int64_t now) {
  reopen(now);
  if (buffered_.empty()) return;
  append(buffered_, now);
  buffered_.clear();
  buffered_bytes_ = 0;
}

std::optional<std::int64_t> tables::flush_due() const {
  if (buffered_.empty()) return std::nullopt;
  return buffered_since_ + options_.max_buffered_time.count();
}

// ---- Reading ----------------------------------------------------------------------------------------------

std::optional<sequence> tables::sequence_of(std::optional<snapshot> id) const {
  if (!id) return std::nullopt;
  const auto s = snapshots_.find(*id);
  if (s == snapshots_.end()) throw std::out_of_range("the snapshot is closed");
  return s->second.commit;
}

const value_ref* tables::unexpired(const value_ref* value, std::int64_t now) const {
  return value != nullptr && !expired(value->expiry, monotonic(now)) ? value : nullptr;
}

std::string tables::read_value(const value_ref& value) const {
  if (value.buffered != nullptr) return *value.buffered;
  const std::string body = log_->read(value.location);
  return std::string(row_of(body, text_of(value.location)).value);
}

std::optional<std::string> tables::get(const std::string& table, const std::string& key, std::int64_t now,
                                       std::optional<snapshot> as_of) const {
  const value_ref* p = unexpired(index_.find(table, key, sequence_of(as_of)), now);
  return p == nullptr ? std::nullopt : std::optional(read_value(*p));
}

void tables::scan(const std::string& table, const std::string& first, const std::string& end,
                  std::int64_t now, std::optional<snapshot> as_of,
                  const std::function<bool(const std::string&, const std::string&)>& visit) const {
  index_.scan(table, first, end, sequence_of(as_of), [&](const std::string& key, const value_ref& p) {
    return unexpired(&p, now) == nullptr || visit(key, read_value(p));
  });
}

void tables::visit_keys(const std::string& table, std::int64_t now,
                        const std::function<void(const std::string&, std::int64_t)>& visit) const {
  index_.scan(table, "", "", std::nullopt, [&](const std::string& key, const value_ref& p) {
    if (unexpired(&p, now) != nullptr) visit(key, p.expiry);
    return true;
  });
}

tables::snapshot tables::open_snapshot(std::int64_t now) {
  latest_time_ = monotonic(now);
  close_old_snapshots(latest_time_);
  snapshots_[++last_snapshot_] = {index_.open_snapshot(), latest_time_};
  return last_snapshot_;
}

void tables::close_snapshot(snapshot id) {
  const auto found = snapshots_.find(id);
  if (found == snapshots_.end()) return;
  index_.close_snapshot(found->second.commit);
  snapshots_.erase(found);
}

// A snapshot that is never closed would block cleaning, as the records that it sees must stay.
void tables::close_old_snapshots(std::int64_t now) {
  while (!snapshots_.empty() && now - snapshots_.begin()->second.opened > options_.max_snapshot_age.count())
    close_snapshot(snapshots_.begin()->first);
}

// ---- Cleaning ---------------------------------------------------------------------------------------------

tables::segment_range tables::segment_to_clean() const {
  const std::uint64_t number = log_->oldest_sealed();
  if (cleaned_ || backup_ || number == 0 || !cleaning_.is_needed(disk())) return {};
  return {number, log_->end_of(number)};
}

tables::read_ahead tables::read_segment(file_system& fs, const std::string& folder,
                                        const segment_range& segment) {
  read_ahead r;
  r.number = segment.number;
  const std::string path = folder + "/" + log::file_name(segment.number);
  r.bytes = fs.read(path, 0, segment.end);
  const segment_header header = decode_header(r.bytes, path);
  store::scan(r.bytes, header, segment.end, path,
              [&](std::uint32_t type, std::string_view, std::uint64_t offset, std::uint64_t size) {
                // Erasures are not copied: the segment is the oldest, so no older put is left to erase.
                if (type == static_cast<std::uint32_t>(table_record::put))
                  r.puts.push_back(
                      {segment.number, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(size)});
              });
  return r;
}

void tables::accept_read_ahead(read_ahead segment, std::int64_t now) {
  if (!cleaned_ && segment.number != 0 && segment.number == log_->oldest_sealed())
    cleaned_ = cleaned_segment{std::move(segment), 0, monotonic(now), 0};
}

bool tables::clean_step(std::int64_t now) {
  latest_time_ = monotonic(now);
  close_old_snapshots(latest_time_);
  blocked_by_snapshot_ = false;
  if (backup_) return false;
  // Cleaning must not rely on buffered writes, which a crash would undo: a record that is overwritten only in
  // memory is still the durable value and must not be dropped.
  flush(now);
  if (!cleaned_) {
    const segment_range next = segment_to_clean();
    if (next.number == 0) return false;
    accept_read_ahead(read_segment(fs_, options_.folder, next), latest_time_);
  }
  cleaned_segment& c = *cleaned_;
  std::vector<entry> copies;
  std::vector<std::pair<std::string, std::string>> keys;
  std::uint64_t bytes = 0;
  const std::uint64_t max_bytes = std::min(options_.slice_bytes, log_->max_frame_bytes() - frame_head);
  std::size_t next_put = c.next_put;
  for (; next_put < c.read.puts.size(); ++next_put) {
    const position& p = c.read.puts[next_put];
    std::uint32_t type = 0;
    const std::string_view body =
        decode_record(std::string_view(c.read.bytes).substr(p.offset, p.size), type, text_of(p));
    const row r = row_of(body, text_of(p));
    const std::string table(r.table), key(r.key);
    const versions::liveness liveness = index_.liveness_of(table, key, p);
    if (liveness == versions::liveness::dead) continue;
    if (liveness == versions::liveness::snapshot_only) {
      blocked_by_snapshot_ = true;
      break;
    }
    if (expired(r.expiry, latest_time_)) {
      index_.erase(table, key, ++last_commit_);
      continue;
    }
    if (!copies.empty() && bytes + p.size > max_bytes) break;
    copies.push_back({{type, std::string(body)}, no_expiry});
    keys.emplace_back(table, key);
    bytes += p.size;
  }
  if (!copies.empty()) {
    const std::vector<position> copied = log_->append(copies, latest_time_);
    for (std::size_t i = 0; i < copied.size(); ++i) index_.relocate(keys[i].first, keys[i].second, copied[i]);
    c.copied += bytes;
    figures_.copied += bytes;
  }
  const bool progressed = next_put > c.next_put;
  c.next_put = next_put;
  if (next_put < c.read.puts.size()) return progressed;
  const std::uint64_t freed = c.read.bytes.size();
  log_->drop(c.read.number);
  ++figures_.cleaned;
  cleaning_.on_cleaned(freed, c.copied, std::chrono::nanoseconds(latest_time_ - c.started));
  cleaned_.reset();
  return true;
}

bool tables::expire_step(std::int64_t now) {
  latest_time_ = monotonic(now);
  if (expiry_cursor_.first.empty()) {  // no pass is in progress: a table name is never empty
    if (latest_time_ < next_expiry_pass_) return false;
    next_expiry_pass_ = latest_time_ + shortest_lifetime(options_.lifetimes) / expiry_passes_per_lifetime;
  }
  for (std::size_t i = 0; i < options_.slice_keys; ++i) {
    const auto next = index_.next_key(expiry_cursor_.first, expiry_cursor_.second);
    if (!next) {
      expiry_cursor_ = {};
      return false;
    }
    expiry_cursor_ = *next;
    const value_ref* p = index_.find(next->first, next->second);
    if (p != nullptr && expired(p->expiry, latest_time_) && p->buffered == nullptr)
      index_.erase(next->first, next->second, ++last_commit_);
  }
  return true;
}

// ---- Checkpoints ------------------------------------------------------------------------------------------

bool tables::checkpoint_step(std::int64_t now) {
  try {
    flush(now);
    if (checkpoint_ == nullptr) {
      if (log_->end() == checkpointed_) return false;
      checkpoint_from_ = log_->end();
      constexpr std::uint64_t bytes_per_key = 128;  // a rough estimate
      checkpoint_ = std::make_unique<checkpoint_writer>(fs_, options_.folder, log_->salt(), log_->end(),
                                                        index_.keys() * bytes_per_key);
      checkpoint_cursor_ = {};
    }
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < options_.slice_keys; ++i) {
      const auto next = index_.next_key(checkpoint_cursor_.first, checkpoint_cursor_.second);
      if (!next) {
        checkpoint_->add(entries);
        checkpoint_->finish();
        checkpoint_.reset();
        checkpointed_ = checkpoint_from_;
        ++figures_.checkpoints;
        return false;
      }
      checkpoint_cursor_ = *next;
      const value_ref* p = index_.find(next->first, next->second);
      if (p != nullptr && !expired(p->expiry, latest_time_))
        entries.push_back(encode_row({next->first, next->second, encode_position(p->location), p->expiry}));
    }
    checkpoint_->add(entries);
  } catch (const io_error&) {
    checkpoint_.reset();
    throw;
  }
  return true;
}

// ---- Backup -----------------------------------------------------------------------------------------------

void tables::begin_backup(const std::string& folder) {
  expect_empty(fs_, folder);
  fs_.create(folder + unfinished_marker, 1);
  fs_.sync_folder(folder);
  backup_ = backup{folder, 0};
}

// Copies one segment per slice. The backup has everything that was committed before the last slice.
bool tables::backup_step(std::int64_t now) {
  if (!backup_) return false;
  flush(now);
  const std::uint64_t next = log_->next_after(backup_->last_copied);
  const std::string name = log::file_name(next), source = options_.folder + "/" + name;
  if (backup_->last_copied == 0) {
    const segment_header header = decode_header(fs_.read(source, 0, header_size), source);
    if (header.previous != 0) fs_.create(backup_->folder + "/" + log::marker_name(header.previous), 1);
  }
  copy(fs_, source, log_->end_of(next), backup_->folder + "/" + name);
  backup_->last_copied = next;
  if (next != log_->end().segment) return true;
  fs_.sync_folder(backup_->folder);
  fs_.remove(backup_->folder + unfinished_marker);
  fs_.sync_folder(backup_->folder);
  backup_.reset();
  return false;
}

void restore_tables(file_system& fs, const std::string& backup, const std::string& folder, std::int64_t now) {
  const std::vector<std::string> names = fs.list(backup);
  for (const std::string& name : names)
    if (std::string_view(unfinished_marker).substr(1) == name) throw damaged(backup + ": incomplete backup");
  const store_content expected = inspect_tables(fs, backup, now);
  if (expected.log.segments == 0) throw damaged(backup + ": not a backup, it has no segments");
  expect_empty(fs, folder);
  for (const std::string& name : names) {
    std::string source = backup;
    source += '/';
    source += name;
    std::string target = folder;
    target += '/';
    target += name;
    if (log::number_of(name) || name.ends_with(".seg.aged")) copy(fs, source, fs.size_of(source), target);
  }
  fs.sync_folder(folder);
  if (inspect_tables(fs, folder, now).log.records != expected.log.records)
    throw damaged(folder + ": the restored copy differs from " + backup);
}

// ---- Figures ----------------------------------------------------------------------------------------------

tables::figures tables::show() const {
  figures f = figures_;
  f.keys = index_.keys();
  f.snapshots = index_.snapshots();
  f.disk = disk();
  f.buffered_bytes = buffered_bytes_;
  f.cleaning_needed = cleaned_.has_value() || cleaning_.is_needed(f.disk);
  f.blocked_by_snapshot = blocked_by_snapshot_;
  return f;
}

store_content inspect_tables(file_system& fs, const std::string& folder, std::int64_t now,
                             const std::function<void(const std::string&, const std::string&,
                                                      const std::string&, std::int64_t)>& visit) {
  store_content found;
  versions from_log, from_checkpoint;
  sequence commit = 0;
  std::uint64_t oldest = 0;
  // Reading needs no lock: log::inspect() below refuses a folder that a process has locked.
  found.checkpoint = read_checkpoint(
      fs, folder, [&](std::string_view entry) { load_checkpoint_entry(from_checkpoint, entry); });
  const bool intact = found.checkpoint && found.checkpoint->fault.empty();
  found.log = log::inspect(
      fs, folder, [](std::uint32_t, std::string_view) { return no_expiry; },
      [&](std::uint32_t type, std::string_view body, const position& location) {
        if (oldest == 0) oldest = location.segment;
        if (!is_table_record(type)) {
          ++found.legacy_records;
          return;
        }
        replay(from_log, type, body, location, ++commit);
        if (intact &&
            std::pair(location.segment, location.offset) >=
                std::pair(found.checkpoint->replay_from.segment, found.checkpoint->replay_from.offset))
          replay(from_checkpoint, type, body, location, commit);
      },
      format::tables);
  if (intact) from_checkpoint.discard_before(oldest);
  std::string table, key;
  for (auto next = from_log.next_key(table, key); next; next = from_log.next_key(table, key)) {
    std::tie(table, key) = *next;
    const value_ref* p = from_log.find(table, key);
    if (expired(p->expiry, now)) continue;
    ++found.keys[table];
    if (intact) {
      const value_ref* q = from_checkpoint.find(table, key);
      if (q == nullptr || !(q->location == p->location))
        throw damaged(folder + "/checkpoint: differs from the log");
    }
    if (!visit) continue;
    const std::string bytes =
        fs.read(folder + "/" + log::file_name(p->location.segment), p->location.offset, p->location.size);
    std::uint32_t type = 0;
    visit(table, key,
          std::string(row_of(decode_record(bytes, type, text_of(p->location)), text_of(p->location)).value),
          p->expiry);
  }
  if (intact && from_checkpoint.keys() > from_log.keys())
    throw damaged(folder + "/checkpoint: has keys that are not in the log");
  return found;
}

}  // namespace marblewharf::store
