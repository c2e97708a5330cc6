// The sections `class` and `tenant`: the operator's additions to the classes and tenants of the platform's
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

// Values of the sections `class` and `tenant` that the readers of other sections need.
struct class_mappings {
  uwsgi_config uwsgi;                             // only the values of vars and the default costs are set
  std::vector<std::chrono::nanoseconds> windows;  // idempotency windows by class; 0: not keyed
};

// Sets `weight_without_call` of the classes in `policy_settings`; returns the other values.
class_mappings read_class_mappings(const parsed_file& file, admission_policy::settings& policy_settings);

// Return the reserve of a class, which is how long before the latency objective a fan-out or a transaction
// ends. The second function returns the default if the class has no section.
std::chrono::nanoseconds read_reserve(const section& request_class);
std::chrono::nanoseconds read_reserve(const parsed_file& file, const std::string& class_name);

}  // namespace marblewharf::sections
