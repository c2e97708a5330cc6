// The command `marblewharf results`: inspects the folder of a stopped node. Each function prints to standard
// output and throws store::io_error or store::damaged. The folder must not be open in any process.
#pragma once

#include <string>

namespace marblewharf::idempotency {

struct results_query {
  std::string folder;
  std::string tenant, request_class, key;  // for show_result()
  std::string segment;                     // for set_segment_aside(): the file name
};

// Prints one line per key.
void list_results(const results_query& query);
// Prints the stored result byte for byte. False: the key or its outcome is unknown; the reason is printed to
// standard error.
bool show_result(const results_query& query);
// Verifies all records and prints their counts.
void verify_results(const results_query& query);
// Renames a damaged segment so that it is ignored: its keys are forgotten, and their requests may run again.
void set_segment_aside(const results_query& query);

}  // namespace marblewharf::idempotency
