#include "store/checkpoint.hpp"

#include <algorithm>
#include <utility>

#include "store/table_records.hpp"

namespace marblewharf::store {
namespace {

constexpr const char* name = "/checkpoint";
constexpr const char* unfinished = "/checkpoint.new";

bool stands(file_system& fs, const std::string& folder, const char* which) {
  const std::vector<std::string> names = fs.list(folder);
  return std::find(names.begin(), names.end(), which + 1) != names.end();
}

}  // namespace

checkpoint_writer::checkpoint_writer(file_system& fs, std::string folder, std::uint64_t salt,
                                     const position& from, std::uint64_t bytes)
    : fs_(fs), folder_(std::move(folder)) {
  if (stands(fs_, folder_, unfinished)) fs_.remove(folder_ + unfinished);
  file_ = fs_.create(folder_ + unfinished, std::max<std::uint64_t>(bytes, header_size));
  segment_header h;
  h.number = 1;
  h.previous = from.segment;
  h.previous_end = from.offset;
  h.salt = salt;
  file_->write_at(0, encode_header(h));
  end_ = header_size;
}

void checkpoint_writer::frame(const std::vector<record>& records) {
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
  if (!records.empty()) frame(records);
  entries_ += entries.size();
}

void checkpoint_writer::finish() {
  frame({{static_cast<std::uint32_t>(table_record::end), std::to_string(entries_)}});
  file_->truncate(end_);
  file_->sync();  // else a crash may leave one that is torn where a whole one stood, and a start reads the
                  // whole log
  fs_.rename(folder_ + unfinished, folder_ + name);
  fs_.sync_folder(folder_);
}

std::optional<checkpoint_found> read_checkpoint(file_system& fs, const std::string& folder,
                                                const std::function<void(std::string_view)>& each) {
  if (!stands(fs, folder, name)) return std::nullopt;
  const std::string path = folder + name;
  checkpoint_found found;
  try {
    const std::string bytes = fs.read(path, 0, fs.size_of(path));
    const segment_header h = decode_header(std::string_view(bytes).substr(0, header_size), path);
    std::vector<std::string_view> entries;
    std::optional<std::string> end;
    const scan_result r = scan(bytes, h, bytes.size(), path,
                               [&](std::uint32_t type, std::string_view body, std::uint64_t, std::uint64_t) {
                                 if (type == static_cast<std::uint32_t>(table_record::entry))
                                   entries.push_back(body);
                                 if (type == static_cast<std::uint32_t>(table_record::end))
                                   end = std::string(body);
                               });
    if (r.end != bytes.size() || end != std::to_string(entries.size())) throw damaged(path + ": not whole");
    found = {{h.previous, static_cast<std::uint32_t>(h.previous_end), 0}, entries.size(), h.salt, {}};
    for (const std::string_view e : entries) each(e);
  } catch (const damaged& e) {
    found.fault = e.what();
  }
  return found;
}

}  // namespace marblewharf::store
