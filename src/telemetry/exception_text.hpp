// Text of an exception of any type, for log lines.
#pragma once

#include <exception>
#include <string>

namespace marblewharf::telemetry {

// Describes the exception that is being handled. Called only in a `catch` block.
inline std::string describe_current_exception() {
  try {
    throw;
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

}  // namespace marblewharf::telemetry
