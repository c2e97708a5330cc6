// The period of the control loops.
#pragma once

#include <chrono>

#include "admission_policy/policy.hpp"

namespace admission_policy {

// Limit, load signal, health and connection advice are evaluated once in this: several runs end in it.
inline constexpr duration control_window = std::chrono::milliseconds(100);

}  // namespace admission_policy
