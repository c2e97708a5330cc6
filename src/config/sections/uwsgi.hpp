// The section `uwsgi`: the front for uwsgi callers and the uwsgi servers that run their requests.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema uwsgi_schema();

// Adds the section's settings to `mappings`, which has the var values of classes and tenants. The file must
// have the section. `tenant_var` may be left out if the platform's settings list no tenants.
uwsgi_config read_uwsgi(const parsed_file& file, const admission_policy::settings& policy_settings,
                        uwsgi_config mappings);

}  // namespace marblewharf::sections
