// Deprecated: include <admission_policy/policy.hpp> and use the namespace admission_policy.
#pragma once

#include "admission_policy/policy.hpp"

namespace wrenrill = admission_policy;
