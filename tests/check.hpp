// CHECK(condition): prints the file, the line and the condition and exits with status 1 where the condition
// is false. It stays active in Release builds.
#pragma once

#include <cstdio>
#include <cstdlib>

#define CHECK(condition)                                                           \
  do {                                                                             \
    if (!(condition)) {                                                            \
      std::fprintf(stderr, "%s:%d: failed: %s\n", __FILE__, __LINE__, #condition); \
      std::exit(1);                                                                \
    }                                                                              \
  } while (false)
