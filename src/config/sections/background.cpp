#include "config/sections/background.hpp"

#include <confuse.h>

#include <cstdint>

#include "config/sections/bounds.hpp"

namespace marblewharf::sections {

schema background_schema() {
  static cfg_opt_t options[] = {CFG_STR("workers", "1", CFGF_NONE),    CFG_STR("cpu", "0.1", CFGF_NONE),
                                CFG_STR("read", "16MiB", CFGF_NONE),   CFG_STR("quiet", "0.5", CFGF_NONE),
                                CFG_STR("busy", "0.85", CFGF_NONE),    CFG_STR("calm", "1s", CFGF_NONE),
                                CFG_STR("deadline", "24h", CFGF_NONE), CFG_END()};
  return {.name = "background", .options = options};
}

void read_background(const parsed_file& file, config& settings) {
  using namespace std::chrono_literals;
  if (!file.has("background")) return;
  const section background = file.get_section("background");
  background_config& background_settings = settings.background;
  background_settings.workers = background.small_count("workers", 1, 16);
  background_settings.cpu_cores = background.number("cpu", 0.001, 16);
  background_settings.read_bytes_per_s =
      background.bytes("read", std::uint64_t{1} << 10, std::uint64_t{1} << 40);
  background_settings.full_headroom_load = background.number("quiet", 0, 1);
  background_settings.no_headroom_load = background.number("busy", 0, 1);
  if (background_settings.no_headroom_load < background_settings.full_headroom_load)
    background.fail("busy", "is less than quiet", background.text("busy"));
  background_settings.queue_cooldown = background.duration("calm", 0s, 60s);
  background_settings.max_overdue = background.duration("deadline", 0s, longest_background_period);
}

}  // namespace marblewharf::sections
