#include "config/sections/keyed.hpp"

#include <confuse.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "config/sections/bounds.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

// Minimum size of the folder in segments.
constexpr std::uint64_t min_segments = 4;

bool any_keyed(const std::vector<std::chrono::nanoseconds>& windows) {
  return std::any_of(windows.begin(), windows.end(), [](auto window) { return window.count() > 0; });
}

void read_key_sources(const section& keyed, const config& configuration, keyed_config& settings) {
  settings.uwsgi_var = keyed.text("uwsgi_var");
  settings.thrift_field = keyed.text("thrift_field");
  if (settings.uwsgi_var.empty() && settings.thrift_field.empty())
    keyed.fail("uwsgi_var", "and thrift_field are both missing");
  if (configuration.uwsgi && settings.uwsgi_var.empty())
    keyed.fail("uwsgi_var", "is missing, but section uwsgi is set");
  settings.max_key_bytes = keyed.count("longest_key", 8, 1024);
}

void read_folder_bounds(const section& keyed, keyed_config& settings) {
  settings.segment_bytes = keyed.bytes("segment", std::uint64_t{64} << 10, std::uint64_t{1} << 30);
  settings.max_folder_bytes =
      keyed.bytes("space", min_segments * settings.segment_bytes, std::uint64_t{1} << 50);
  settings.max_keys = keyed.count("entries", 16, 100'000'000);
}

void read_inquiries(const section& keyed, const config& configuration, keyed_config& settings) {
  settings.inquiry_var = keyed.text("inquiry_var");
  settings.inquiry_value = keyed.text("inquiry_value");
  if (settings.inquiry_var.empty() != settings.inquiry_value.empty())
    keyed.fail("inquiry_var", "and inquiry_value must be set together");
  if (!settings.inquiry_var.empty() && !configuration.uwsgi)
    keyed.fail("inquiry_var", "is set, but section uwsgi is missing");
  settings.inquiry_tries = keyed.small_count("inquiry_tries", 1, 100);
  settings.inquiry_retry_delay = keyed.duration("inquiry_pause", 1ms, 60s);
}

}  // namespace

schema keyed_schema() {
  static cfg_opt_t options[] = {CFG_STR("folder", nullptr, CFGF_NONE),
                                CFG_STR("scrub", "0s", CFGF_NONE),
                                CFG_STR("uwsgi_var", nullptr, CFGF_NONE),
                                CFG_STR("thrift_field", nullptr, CFGF_NONE),
                                CFG_STR("longest_key", "255", CFGF_NONE),
                                CFG_STR("space", "1GiB", CFGF_NONE),
                                CFG_STR("entries", "1000000", CFGF_NONE),
                                CFG_STR("segment", "8MiB", CFGF_NONE),
                                CFG_STR("finish_within", "10s", CFGF_NONE),
                                CFG_STR("retry_disk", "500ms", CFGF_NONE),
                                CFG_STR("inquiry_var", nullptr, CFGF_NONE),
                                CFG_STR("inquiry_value", nullptr, CFGF_NONE),
                                CFG_STR("inquiry_tries", "3", CFGF_NONE),
                                CFG_STR("inquiry_pause", "200ms", CFGF_NONE),
                                CFG_END()};
  return {.name = "keyed", .options = options};
}

void read_keyed(const parsed_file& file, config& settings, std::vector<std::chrono::nanoseconds> windows) {
  if (!file.has("keyed")) {
    if (any_keyed(windows)) file.fail("keyed", "is missing, but a class has keyed = yes");
    return;
  }
  const section keyed = file.get_section("keyed");
  keyed_config keyed_settings;
  keyed_settings.windows = std::move(windows);
  keyed_settings.folder = keyed.required_text("folder");
  read_key_sources(keyed, settings, keyed_settings);
  read_folder_bounds(keyed, keyed_settings);
  keyed_settings.max_overrun = keyed.duration("finish_within", 0s, one_hour);
  keyed_settings.disk_retry_interval = keyed.duration("retry_disk", 10ms, one_hour);
  read_inquiries(keyed, settings, keyed_settings);
  keyed_settings.scrub_interval = keyed.duration("scrub", 0s, longest_background_period);
  if (!any_keyed(keyed_settings.windows)) keyed.fail(nullptr, "is set, but no class has keyed = yes");
  enable_durable_idempotency(settings, std::move(keyed_settings));
}

}  // namespace marblewharf::sections
