#include "config/sections/background.hpp"

#include <confuse.h>

#include <cstdint>

#include "config/sections/limits.hpp"

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
  const section background = file.only("background");
  background_config& read = settings.background;
  read.workers = background.small_count("workers", 1, 16);
  read.cpu = background.number("cpu", 0.001, 16);
  read.read = background.bytes("read", std::uint64_t{1} << 10, std::uint64_t{1} << 40);
  read.quiet = background.number("quiet", 0, 1);
  read.busy = background.number("busy", 0, 1);
  if (read.busy < read.quiet) background.fail("busy", "is under quiet", background.text("busy"));
  read.calm = background.duration("calm", 0s, 60s);
  read.deadline = background.duration("deadline", 0s, longest_background_period);
}

}  // namespace marblewharf::sections
