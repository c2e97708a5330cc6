#include "config/sections/writes.hpp"

#include <confuse.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "config/sections/bounds.hpp"
#include "config/sections/classes.hpp"
#include "config/sections/references.hpp"
#include "store/cleaning.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

// The size of a batch of records is at most the size of a segment divided by this.
constexpr std::uint64_t batches_per_segment = 4;
// Size of a batch in addition to its results and keys.
constexpr std::uint64_t batch_overhead_bytes = 8 << 10;

std::vector<std::size_t> read_participants(const section& class_section,
                                           const dependencies_config& dependencies) {
  std::vector<std::size_t> participants;
  unsigned one_phase = 0;
  for (const std::string& name : class_section.texts("participants")) {
    const std::size_t index = index_of_dependency(class_section, "participants", name, dependencies);
    if (std::find(participants.begin(), participants.end(), index) != participants.end())
      class_section.fail("participants", "lists a dependency twice", name);
    participants.push_back(index);
    if (dependencies.upstreams[index].one_phase) ++one_phase;
  }
  if (one_phase > 1)
    class_section.fail("participants", "lists more than one dependency with one_phase = yes");
  return participants;
}

transaction_plan read_plan(const section& class_section, const std::string& title,
                           const config& configuration) {
  transaction_plan plan;
  plan.request_class = index_of_title(class_section, configuration.policy_settings.classes, title);
  if (!configuration.keyed || configuration.keyed->windows[plan.request_class].count() == 0)
    class_section.fail("participants", "needs keyed = yes, because a transaction is identified by its key");
  if (!configuration.dependencies)
    class_section.fail("participants", "is set, but there is no section dependency");
  plan.participants = read_participants(class_section, *configuration.dependencies);
  plan.reserve = read_reserve(class_section);
  plan.window = configuration.keyed->windows[plan.request_class];
  return plan;
}

std::vector<transaction_plan> read_plans(const parsed_file& file, const config& configuration) {
  std::vector<transaction_plan> plans;
  file.for_each("class", [&](const section& class_section, const std::string& title) {
    if (class_section.has("participants")) plans.push_back(read_plan(class_section, title, configuration));
  });
  return plans;
}

// Rejects a segment size for which the outcome of a transaction might not fit in a batch; the transaction
// could then never end.
void check_segment(const section& writes, const transactions_config& settings, const config& configuration) {
  for (const transaction_plan& plan : settings.plans) {
    const std::uint64_t results = plan.participants.size() * (configuration.bounds.max_result_bytes +
                                                              configuration.bounds.max_response_head_bytes);
    const std::uint64_t largest_batch =
        std::max<std::uint64_t>(results, configuration.bounds.max_write_buffer_bytes) +
        configuration.keyed->max_key_bytes + batch_overhead_bytes;
    if (largest_batch > settings.segment_bytes / batches_per_segment)
      writes.fail("segment", "is too small for the results of all participants of a class",
                  writes.text("segment"));
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
  transactions_config writes_settings;
  writes_settings.plans = read_plans(file, settings);
  if (writes_settings.plans.empty()) return;
  if (!file.has("writes")) file.fail("writes", "is missing, but a class has participants");
  const section writes = file.get_section("writes");
  writes_settings.folder = writes.required_text("folder");
  writes_settings.step_var = writes.required_text("step_var");
  writes_settings.id_var = writes.required_text("id_var");
  writes_settings.segment_bytes = writes.bytes("segment", std::uint64_t{1} << 20, std::uint64_t{1} << 30);
  check_segment(writes, writes_settings, settings);
  // Compaction needs free segments to copy live records to.
  writes_settings.max_folder_bytes =
      writes.bytes("space", store::min_segments * writes_settings.segment_bytes, std::uint64_t{1} << 50);
  writes_settings.retry_delay = writes.duration("retry", 10ms, 60s);
  writes_settings.max_retry_delay = writes.duration("longest_retry", writes_settings.retry_delay, one_hour);
  writes_settings.max_outcomes = writes.count("outcomes", 1, 100'000'000);
  writes_settings.scrub_interval = writes.duration("scrub", 0s, longest_background_period);
  settings.transactions = std::move(writes_settings);
}

}  // namespace marblewharf::sections
