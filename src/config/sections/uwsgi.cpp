#include "config/sections/uwsgi.hpp"

#include <confuse.h>

#include <cstdint>
#include <utility>

namespace marblewharf::sections {
namespace {

constexpr std::uint64_t bytes_per_kb = 1024;
constexpr std::uint64_t min_reserved_bytes = 100;
constexpr std::uint64_t max_reserved_bytes = 2000 * bytes_per_kb;

}  // namespace

schema uwsgi_schema() {
  static cfg_opt_t options[] = {CFG_STR("listen", nullptr, CFGF_NONE),
                                CFG_STR_LIST("servers", nullptr, CFGF_NONE),
                                CFG_STR("class_var", nullptr, CFGF_NONE),
                                CFG_STR("tenant_var", nullptr, CFGF_NONE),
                                CFG_STR("cost_var", nullptr, CFGF_NONE),
                                CFG_STR("held", "40KiB", CFGF_NONE),
                                CFG_END()};
  return {.name = "uwsgi", .options = options};
}

uwsgi_config read_uwsgi(const parsed_file& file, const admission_policy::settings& policy_settings,
                        uwsgi_config mappings) {
  const section uwsgi = file.get_section("uwsgi");
  uwsgi_config settings = std::move(mappings);
  settings.listen = uwsgi.address("listen", uwsgi.required_text("listen"));
  settings.servers = uwsgi.addresses("servers");
  if (settings.servers.empty()) uwsgi.fail("servers", "lists no server");
  settings.request_class.var = uwsgi.required_text("class_var");
  settings.tenant.var =
      policy_settings.tenants.empty() ? uwsgi.text("tenant_var") : uwsgi.required_text("tenant_var");
  settings.cost.var = uwsgi.text("cost_var");
  const std::uint64_t reserved_bytes = uwsgi.bytes("held", min_reserved_bytes, max_reserved_bytes);
  settings.reserved_kb = static_cast<double>(reserved_bytes) / static_cast<double>(bytes_per_kb);
  return settings;
}

}  // namespace marblewharf::sections
