#include "store/checkpoint.hpp"

#include <algorithm>
#include <utility>

#include "store/table_records.hpp"

namespace marblewharf::store {
namespace {

constexpr const char* checkpoint_name = "/checkpoint";
constexpr const char* unfinished_name = "/checkpoint.new";

bool exists(file_system& fs, const std::string& folder, const char* name) {
  const std::vector<std::string> names = fs.list(folder);
  return std::find(names.begin(), names.end(), name + 1) != names.end();
}

}  // namespace

checkpoint_writer::checkpoint_writer(file_system& fs, std::string folder, std::uint64_t salt,
                                     const position& replay_from, std::uint64_t expected_bytes)
    : fs_(fs), folder_(std::move(folder)) {
  if (exists(fs_, folder_, unfinished_name)) fs_.remove(folder_ + unfinished_name);
  file_ = fs_.create(folder_ + unfinished_name, std::max<std::uint64_t>(expected_bytes, header_size));
  segment_header header;
  header.number = 1;
  header.previous = replay_from.segment;
  header.previous_end = replay_from.offset;
  header.salt = salt;
  file_->write_at(0, encode_header(header));
  end_ = header_size;
}

void checkpoint_writer::write_frame(const std::vector<record>& records) {
  std::vector<std::uint64_t> offsets;
  const std::string bytes = encode_frame(1, ++frames_, records, offsets);
  file_->write_at(end_, bytes);
  end_ += bytes.size();
}

void checkpoint_writer::add(const std::vector<std::string>& entries) {
  std::vector<record> records;
  records.reserve(entries.size());
  for (const std::string& e : entries)
    records.push_back({static_cast<std::uint32_t>(table_record::entry), e});
  if (!records.empty()) write_frame(records);
  entries_ += entries.size();
}

void checkpoint_writer::finish() {
  write_frame({{static_cast<std::uint32_t>(table_record::end), std::to_string(entries_)}});
  file_->truncate(end_);
  // Without the sync, a crash could replace an intact checkpoint by a torn one, and recovery would have to
  // read the whole log.
  file_->sync();
  fs_.rename(folder_ + unfinished_name, folder_ + checkpoint_name);
  fs_.sync_folder(folder_);
}

std::optional<recovered_checkpoint> read_checkpoint(file_system& fs, const std::string& folder,
                                                    const std::function<void(std::string_view)>& visit) {
  if (!exists(fs, folder, checkpoint_name)) return std::nullopt;
  const std::string path = folder + checkpoint_name;
  recovered_checkpoint found;
  try {
    const std::string bytes = fs.read(path, 0, fs.size_of(path));
    const segment_header header = decode_header(std::string_view(bytes).substr(0, header_size), path);
    std::vector<std::string_view> entries;
    std::optional<std::string> end;
    const scan_result scanned =
        scan(bytes, header, bytes.size(), path,
             [&](std::uint32_t type, std::string_view body, std::uint64_t, std::uint64_t) {
               if (type == static_cast<std::uint32_t>(table_record::entry)) entries.push_back(body);
               if (type == static_cast<std::uint32_t>(table_record::end)) end = std::string(body);
             });
    if (scanned.end != bytes.size() || end != std::to_string(entries.size()))
      throw damaged(path + ": incomplete, its end record does not match its entries");
    found = {{header.previous, static_cast<std::uint32_t>(header.previous_end), 0},
             entries.size(),
             header.salt,
             {}};
    for (const std::string_view e : entries) visit(e);
  } catch (const damaged& e) {
    found.fault = e.what();
  }
  return found;
}

}  // namespace marblewharf::store
