// The location of a record in a folder of segments.
#pragma once

#include <cstdint>

namespace marblewharf::store {

struct position {
  std::uint64_t segment = 0;  // number
  std::uint32_t offset = 0;   // bytes from the start of the segment
  std::uint32_t size = 0;     // bytes
  bool operator==(const position&) const = default;
};

}  // namespace marblewharf::store
