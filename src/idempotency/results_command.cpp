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

struct known {
  std::string tenant, request_class, name;
  moment expiry = 0;
  bool answered = false, served = false;
  std::uint64_t size = 0;
  store::position at;
};

struct less {
  bool operator()(const key_id& a, const key_id& b) const {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

std::int64_t expiry_of(std::uint32_t type, std::string_view body) {
  const auto k = decode(type, body);
  return k ? k->expiry : 0;
}

std::map<key_id, known, less> read_all(const std::string& folder, store::recovered_counts& counts) {
  store::posix_file_system fs;
  std::map<key_id, known, less> all;
  counts = store::log::inspect(fs, folder, expiry_of,
                               [&](std::uint32_t type, std::string_view body, const store::position& at) {
                                 const auto k = decode(type, body);
                                 if (!k) return;
                                 if (k->what == record_type::release) {
                                   all.erase(k->key);
                                   return;
                                 }
                                 known& one = all[k->key];
                                 one.expiry = k->expiry;
                                 one.answered = k->what == record_type::result;
                                 one.served = k->served;
                                 one.size = k->bytes.size();
                                 one.at = at;
                                 if (k->what != record_type::intent) return;
                                 one.tenant = k->tenant;
                                 one.request_class = k->request_class;
                                 one.name = k->name;
                               });
  return all;
}

const char* state_of(const known& k) {
  return !k.answered ? "in-doubt" : k.served ? "served" : "failed";
}

}  // namespace

void list_results(const results_query& q) {
  store::recovered_counts counts;
  for (const auto& [key, k] : read_all(q.folder, counts)) {
    const std::time_t until = static_cast<std::time_t>(k.expiry / 1'000'000'000);
    char text[32];
    std::tm utc{};
    ::gmtime_r(&until, &utc);
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
    std::printf("%s until=%s tenant=%s class=%s key=%s bytes=%" PRIu64 "\n", state_of(k), text,
                store::printable(k.tenant).c_str(), store::printable(k.request_class).c_str(),
                store::printable(k.name).c_str(), k.size);
  }
}

bool show_result(const results_query& q) {
  store::recovered_counts counts;
  for (const auto& [key, k] : read_all(q.folder, counts)) {
    if (k.name != q.key || k.tenant != q.tenant || k.request_class != q.request_class) continue;
    if (!k.answered) {
      std::fprintf(stderr, "in doubt: a run began and its end was not recorded\n");
      return false;
    }
    store::posix_file_system fs;
    const std::string path = q.folder + "/" + store::log::file_name(k.at.segment);
    std::uint32_t type = 0;
    const std::string bytes = fs.read(path, k.at.offset, k.at.size);
    const auto result =
        decode(static_cast<std::uint32_t>(record_type::result), store::decode_record(bytes, type, path));
    std::fwrite(result->bytes.data(), 1, result->bytes.size(), stdout);
    return true;
  }
  std::fprintf(stderr, "no such key\n");
  return false;
}

void verify_results(const results_query& q) {
  store::recovered_counts counts;
  const auto all = read_all(q.folder, counts);
  std::uint64_t doubtful = 0;
  for (const auto& [key, k] : all) doubtful += !k.answered;
  std::printf("segments=%" PRIu64 " commits=%" PRIu64 " records=%" PRIu64 " keys=%zu in_doubt=%" PRIu64
              " torn_bytes=%" PRIu64 "\n",
              counts.segments, counts.frames, counts.records, all.size(), doubtful, counts.torn_bytes);
}

void set_segment_aside(const results_query& q) {
  store::posix_file_system fs;
  const auto held = fs.lock(q.folder + "/lock");
  const std::string path = q.folder + "/" + q.segment;
  if (!q.segment.ends_with(".seg")) throw store::io_error(path + ": no segment");
  fs.rename(path, path + ".aside");
  fs.sync_folder(q.folder);
  std::printf("%s is set aside: its keys are forgotten and may run again\n", path.c_str());
}

}  // namespace marblewharf::idempotency
