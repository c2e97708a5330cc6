#include "config/sections/fleet.hpp"

#include <confuse.h>

#include <algorithm>
#include <utility>

#include "config/sections/bounds.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

// A vote is issued four times per lease, and each issue needs two probes to reach the other members.
constexpr int min_probes_per_vote_lease = 8;

void read_membership(const section& fleet, fleet_config& settings) {
  settings.probe_interval = fleet.duration("probe_interval", 10ms, 60s);
  settings.probe_timeout = fleet.duration("probe_timeout", 1ms, settings.probe_interval);
  settings.indirect_probes = fleet.small_count("indirect_probes", 0, 16);
  settings.suspicion_min_rounds = fleet.number("suspicion_min_rounds", 1, 100);
  settings.suspicion_max_factor = fleet.number("suspicion_max_factor", 1, 100);
  settings.suspicion_confirmations = fleet.small_count("suspicion_confirmations", 0, 16);
  settings.retransmits = fleet.small_count("retransmits", 1, 32);
  settings.gossip_per_message = fleet.small_count("gossip_per_message", 1, 32);
  settings.refresh_per_message = fleet.small_count("refresh_per_message", 0, 32);
  settings.max_health_score = fleet.small_count("health_most", 0, 64);
  settings.dead_member_probe_interval = fleet.small_count("reconnect_every", 0, 1000);
}

void read_votes(const section& fleet, fleet_config& settings) {
  settings.hold_down = fleet.duration("hold_down", 0s, one_hour);
  settings.vote_lease =
      fleet.duration("vote_lease", min_probes_per_vote_lease * settings.probe_interval, one_hour);
  settings.votes_per_message = fleet.small_count("votes_per_message", 1, 16);
  settings.start_grace = fleet.duration("start_grace", 0s, one_hour);
}

void read_zones(const parsed_file& file, fleet_config& settings) {
  file.for_each("zone", [&](const section& zone_section, const std::string& title) {
    fleet_zone zone{title, zone_section.required_text("region"), zone_section.addresses("members")};
    if (zone.members.empty()) zone_section.fail("members", "lists no member");
    settings.zones.push_back(std::move(zone));
  });
}

bool is_member_of_own_zone(const fleet_config& settings) {
  return std::any_of(settings.zones.begin(), settings.zones.end(), [&](const fleet_zone& zone) {
    const auto& members = zone.members;
    return zone.name == settings.zone &&
           std::find(members.begin(), members.end(), settings.advertise) != members.end();
  });
}

}  // namespace

schema fleet_schema() {
  static cfg_opt_t options[] = {CFG_STR("name", nullptr, CFGF_NONE),
                                CFG_STR("listen", nullptr, CFGF_NONE),
                                CFG_STR("advertise", nullptr, CFGF_NONE),
                                CFG_STR("zone", nullptr, CFGF_NONE),
                                CFG_STR_LIST("seeds", nullptr, CFGF_NONE),
                                CFG_STR("probe_interval", "500ms", CFGF_NONE),
                                CFG_STR("probe_timeout", "200ms", CFGF_NONE),
                                CFG_STR("indirect_probes", "3", CFGF_NONE),
                                CFG_STR("suspicion_min_rounds", "4", CFGF_NONE),
                                CFG_STR("suspicion_max_factor", "6", CFGF_NONE),
                                CFG_STR("suspicion_confirmations", "3", CFGF_NONE),
                                CFG_STR("retransmits", "4", CFGF_NONE),
                                CFG_STR("gossip_per_message", "8", CFGF_NONE),
                                CFG_STR("refresh_per_message", "2", CFGF_NONE),
                                CFG_STR("health_most", "8", CFGF_NONE),
                                CFG_STR("reconnect_every", "5", CFGF_NONE),
                                CFG_STR("hold_down", "10s", CFGF_NONE),
                                CFG_STR("vote_lease", "10s", CFGF_NONE),
                                CFG_STR("votes_per_message", "12", CFGF_NONE),
                                CFG_STR("start_grace", "5s", CFGF_NONE),
                                CFG_END()};
  return {.name = "fleet", .options = options};
}

schema zone_schema() {
  static cfg_opt_t options[] = {CFG_STR("region", nullptr, CFGF_NONE),
                                CFG_STR_LIST("members", nullptr, CFGF_NONE), CFG_END()};
  return {.name = "zone", .options = options, .titled = true};
}

void read_fleet(const parsed_file& file, config& settings) {
  if (!file.has("fleet")) {
    if (file.has("zone")) file.fail("zone", "is set, but section fleet is missing");
    return;
  }
  const section fleet = file.get_section("fleet");
  fleet_config fleet_settings;
  fleet_settings.name = fleet.required_text("name");
  fleet_settings.listen = fleet.address("listen", fleet.required_text("listen"));
  const std::string advertised = fleet.text("advertise");
  fleet_settings.advertise =
      advertised.empty() ? fleet_settings.listen : fleet.address("advertise", advertised);
  fleet_settings.zone = fleet.required_text("zone");
  fleet_settings.seeds = fleet.addresses("seeds");
  if (fleet_settings.seeds.empty()) fleet.fail("seeds", "lists no seed");
  read_membership(fleet, fleet_settings);
  read_votes(fleet, fleet_settings);
  read_zones(file, fleet_settings);
  if (!is_member_of_own_zone(fleet_settings))
    fleet.fail(advertised.empty() ? "listen" : "advertise", "is not a member of the zone that is set in zone",
               fleet_settings.zone);
  settings.fleet = std::move(fleet_settings);
}

}  // namespace marblewharf::sections
