// The plain assert of the tests.
#pragma once

#include <cstdio>
#include <cstdlib>

#define CHECK(what)                                                           \
  do {                                                                        \
    if (!(what)) {                                                            \
      std::fprintf(stderr, "%s:%d: failed: %s\n", __FILE__, __LINE__, #what); \
      std::exit(1);                                                           \
    }                                                                         \
  } while (false)
