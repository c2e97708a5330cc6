#include "idempotency/results_command.hpp"

#include <cinttypes>
#include <cstdio>
#include <ctime>
#include <map>

#include "idempotency/records.hpp"
#include "store/bytes.hpp"
#include "store/log.hpp"

namespace marblewharf::idempotency {
namespace {

constexpr aging_time ns_per_second = 1'000'000'000;

// The state of a key according to its records in the folder.
struct recorded_key {
  std::string tenant, request_class, client_key, server;
  aging_time expiry = 0;
  bool completed = false;
  bool succeeded = false;
  std::uint64_t result_size = 0;
  store::position result_at;
};

struct key_order {
  bool operator()(const key_id& a, const key_id& b) const {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

using recorded_keys = std::map<key_id, recorded_key, key_order>;

struct folder_content {
  recorded_keys keys;
  store::recovered_counts counts;
};

aging_time expiry_of(std::uint32_t type, std::string_view body) {
  const std::optional<key_record> record = decode(type, body);
  return record ? record->expiry : 0;
}

void apply(const key_record& record, const store::position& position, recorded_keys& keys) {
  if (record.type == record_type::release) {
    keys.erase(record.key);
    return;
  }
  recorded_key& key = keys[record.key];
  key.expiry = record.expiry;
  key.completed = record.type == record_type::result;
  key.succeeded = record.succeeded;
  key.result_size = record.result.size();
  key.result_at = position;
  if (record.type != record_type::intent) return;
  key.tenant = record.tenant;
  key.request_class = record.request_class;
  key.client_key = record.client_key;
  key.server = record.server;
}

folder_content read_folder(const std::string& folder) {
  store::posix_file_system files;
  folder_content content;
  const auto apply_each = [&](std::uint32_t type, std::string_view body, const store::position& position) {
    if (const std::optional<key_record> record = decode(type, body)) apply(*record, position, content.keys);
  };
  content.counts = store::log::inspect(files, folder, expiry_of, apply_each);
  return content;
}

const char* status_of(const recorded_key& key) {
  if (!key.completed) return "in-doubt";
  return key.succeeded ? "served" : "failed";
}

// Only this server can tell what became of a key whose outcome is unknown.
std::string server_text(const recorded_key& key) {
  if (key.completed || key.server.empty()) return {};
  return " server=" + store::printable(key.server);
}

std::string utc_text(aging_time time) {
  const std::time_t seconds = static_cast<std::time_t>(time / ns_per_second);
  char text[32];
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

// Writes a stored result to standard output.
void print_result(const std::string& folder, const store::position& result_at) {
  store::posix_file_system files;
  const std::string path = folder + "/" + store::log::file_name(result_at.segment);
  std::uint32_t type = 0;
  const std::string bytes = files.read(path, result_at.offset, result_at.size);
  const std::optional<key_record> record =
      decode(static_cast<std::uint32_t>(record_type::result), store::decode_record(bytes, type, path));
  std::fwrite(record->result.data(), 1, record->result.size(), stdout);
}

}  // namespace

void list_results(const results_query& query) {
  for (const auto& [id, key] : read_folder(query.folder).keys) {
    std::printf("%s until=%s tenant=%s class=%s key=%s bytes=%" PRIu64 "%s\n", status_of(key),
                utc_text(key.expiry).c_str(), store::printable(key.tenant).c_str(),
                store::printable(key.request_class).c_str(), store::printable(key.client_key).c_str(),
                key.result_size, server_text(key).c_str());
  }
}

bool show_result(const results_query& query) {
  for (const auto& [id, key] : read_folder(query.folder).keys) {
    const bool matches =
        key.client_key == query.key && key.tenant == query.tenant && key.request_class == query.request_class;
    if (!matches) continue;
    if (!key.completed) {
      std::fprintf(stderr, "in doubt: a run began and its end was not recorded\n");
      return false;
    }
    print_result(query.folder, key.result_at);
    return true;
  }
  std::fprintf(stderr, "no such key\n");
  return false;
}

void verify_results(const results_query& query) {
  const folder_content content = read_folder(query.folder);
  std::uint64_t unknown = 0;
  for (const auto& [id, key] : content.keys) unknown += key.completed ? 0 : 1;
  const store::recovered_counts& counts = content.counts;
  std::printf("segments=%" PRIu64 " commits=%" PRIu64 " records=%" PRIu64 " keys=%zu in_doubt=%" PRIu64
              " torn_bytes=%" PRIu64 "\n",
              counts.segments, counts.frames, counts.records, content.keys.size(), unknown,
              counts.torn_bytes);
}

void set_segment_aside(const results_query& query) {
  store::posix_file_system files;
  const auto lock = files.lock(query.folder + "/lock");
  const std::string path = query.folder + "/" + query.segment;
  if (!query.segment.ends_with(".seg"))
    throw store::io_error(path + ": not a segment file, its name must end with .seg");
  files.rename(path, path + ".aside");
  files.sync_folder(query.folder);
  std::printf("%s is set aside: its keys are forgotten and may run again\n", path.c_str());
}

}  // namespace marblewharf::idempotency
