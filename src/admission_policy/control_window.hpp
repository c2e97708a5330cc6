// The period of the control loops.
#pragma once

#include <chrono>

#include "admission_policy/policy.hpp"

namespace admission_policy {

// Period at which the concurrency limit, the load signal, the health and the advice on idle connections are
// evaluated. Long enough for several runs to end within it.
inline constexpr duration control_window = std::chrono::milliseconds(100);

}  // namespace admission_policy
