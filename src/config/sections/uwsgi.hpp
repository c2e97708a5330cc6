// The section `uwsgi`: the second front and the servers behind it.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema uwsgi_schema();

// Completes `mappings`, which has the values of classes and tenants. The file has the section.
uwsgi_config read_uwsgi(const parsed_file& file, uwsgi_config mappings);

}  // namespace marblewharf::sections
