// A temporary folder that the processes of one node share while one replaces another.
#pragma once

#include <filesystem>
#include <string>

#include "harness.hpp"

namespace harness {

// A $TMPDIR that two processes share; it is removed at the end of the test.
struct shared_folder {
  shared_folder() {
    char name[] = "/tmp/marblewharf-handover-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    path = name;
  }
  ~shared_folder() { std::filesystem::remove_all(path); }
  // An operator's file that stores the results of keyed requests in this folder.
  std::string keyed_operators() const {
    return "class kurs-meldung {\n keyed = yes\n window = 10m\n}\nkeyed {\n folder = \"" + path +
           "/results\"\n thrift_field = key\n}\n";
  }
  std::string path;
};

}  // namespace harness
