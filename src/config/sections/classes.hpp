// The sections `class` and `tenant`: what the operator adds to classes and tenants of the platform's
// settings.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"
#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema class_schema();
schema tenant_schema();

// What the sections say of each class and tenant, for the readers of other sections.
struct class_mappings {
  uwsgi_config uwsgi;                             // values of vars and default costs only
  std::vector<std::chrono::nanoseconds> windows;  // idempotency windows by class; 0: not keyed
};

// Sets in `known` what an answer without a call is worth; returns the rest.
class_mappings read_class_mappings(const parsed_file& file, admission_policy::settings& known);

// How long before the latency objective a fan-out or a transaction of this class is to end: the reserve of
// its section, or the default where it has none.
std::chrono::nanoseconds read_reserve(const section& request_class);
std::chrono::nanoseconds read_reserve(const parsed_file& file, const std::string& class_name);

}  // namespace marblewharf::sections
