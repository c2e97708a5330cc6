#include "config/sections/writes.hpp"

#include <confuse.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "config/sections/classes.hpp"
#include "config/sections/limits.hpp"
#include "config/sections/references.hpp"
#include "store/cleaning.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

// A batch of records takes at most this part of a segment ...
constexpr std::uint64_t batches_per_segment = 4;
// ... and so much of it besides results and keys.
constexpr std::uint64_t batch_overhead_bytes = 8 << 10;

std::vector<std::size_t> read_participants(const section& titled, const dependencies_config& dependencies) {
  std::vector<std::size_t> participants;
  unsigned one_phase = 0;
  for (const std::string& name : titled.texts("participants")) {
    const std::size_t index = index_of_dependency(titled, "participants", name, dependencies);
    if (std::find(participants.begin(), participants.end(), index) != participants.end())
      titled.fail("participants", "name one twice", name);
    participants.push_back(index);
    if (dependencies.endpoints[index].one_phase) ++one_phase;
  }
  if (one_phase > 1) titled.fail("participants", "have more than one that cannot prepare");
  return participants;
}

write_plan read_plan(const section& titled, const std::string& title, const config& platform) {
  write_plan plan;
  plan.request_class = index_of_title(titled, platform.settings.classes, title);
  if (!platform.keyed || platform.keyed->windows[plan.request_class].count() == 0)
    titled.fail("participants", "go with keyed = yes: a write over several is known by its key");
  if (!platform.dependencies) titled.fail("participants", "name no dependency");
  plan.participants = read_participants(titled, *platform.dependencies);
  plan.reserve = read_reserve(titled);
  plan.window = platform.keyed->windows[plan.request_class];
  return plan;
}

std::vector<write_plan> read_plans(const parsed_file& file, const config& platform) {
  std::vector<write_plan> plans;
  file.each("class", [&](const section& titled, const std::string& title) {
    if (titled.has("participants")) plans.push_back(read_plan(titled, title, platform));
  });
  return plans;
}

// Guards against an outcome that no batch can hold: its transaction could never end.
void check_segment(const section& writes, const writes_config& settings, const config& platform) {
  for (const write_plan& plan : settings.plans) {
    const std::uint64_t results =
        plan.participants.size() * (platform.bounds.result + platform.bounds.response_head);
    const std::uint64_t largest_batch = std::max<std::uint64_t>(results, platform.bounds.write_buffer) +
                                        platform.keyed->longest_key + batch_overhead_bytes;
    if (largest_batch > settings.segment / batches_per_segment)
      writes.fail("segment", "is too small for the results of so many participants", writes.text("segment"));
  }
}

}  // namespace

schema writes_schema() {
  static cfg_opt_t options[] = {
      CFG_STR("folder", nullptr, CFGF_NONE),     CFG_STR("segment", "8MiB", CFGF_NONE),
      CFG_STR("space", "256MiB", CFGF_NONE),     CFG_STR("step_var", nullptr, CFGF_NONE),
      CFG_STR("id_var", nullptr, CFGF_NONE),     CFG_STR("retry", "200ms", CFGF_NONE),
      CFG_STR("longest_retry", "5s", CFGF_NONE), CFG_STR("outcomes", "1000000", CFGF_NONE),
      CFG_STR("scrub", "0s", CFGF_NONE),         CFG_END()};
  return {.name = "writes", .options = options};
}

void read_writes(const parsed_file& file, config& settings) {
  writes_config read;
  read.plans = read_plans(file, settings);
  if (read.plans.empty()) return;
  if (!file.has("writes")) file.fail("writes", "is missing, and a class has participants");
  const section writes = file.only("writes");
  read.folder = writes.required_text("folder");
  read.step_var = writes.required_text("step_var");
  read.id_var = writes.required_text("id_var");
  read.segment = writes.bytes("segment", std::uint64_t{1} << 20, std::uint64_t{1} << 30);
  check_segment(writes, read, settings);
  // Compaction needs room to turn.
  read.space = writes.bytes("space", store::least_segments * read.segment, std::uint64_t{1} << 50);
  read.retry = writes.duration("retry", 10ms, 60s);
  read.longest_retry = writes.duration("longest_retry", read.retry, one_hour);
  read.outcomes = writes.count("outcomes", 1, 100'000'000);
  read.scrub = writes.duration("scrub", 0s, longest_background_period);
  settings.writes = std::move(read);
}

}  // namespace marblewharf::sections
