// Where a record stands in a folder of segments.
#pragma once

#include <cstdint>

namespace marblewharf::store {

struct position {
  std::uint64_t segment = 0;
  std::uint32_t offset = 0;
  std::uint32_t size = 0;
  bool operator==(const position&) const = default;
};

}  // namespace marblewharf::store
