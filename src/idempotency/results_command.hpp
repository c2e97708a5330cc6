// The command `marblewharf results`: what the folder of a stopped node holds. Each function prints to
// standard output and throws store::io_error or store::damaged. No process may have the folder open.
#pragma once

#include <string>

namespace marblewharf::idempotency {

struct results_query {
  std::string folder;
  std::string tenant, request_class, key;  // of show_result()
  std::string segment;                     // of set_segment_aside(): the file's name
};

// A line for each key.
void list_results(const results_query& query);
// The stored result, byte for byte. False: the key is not known, or its outcome is not; standard error says
// which.
bool show_result(const results_query& query);
// Counts of what was read, once all of it was found to be intact.
void verify_results(const results_query& query);
// Takes a damaged segment out of use: the keys in it are forgotten and may run again.
void set_segment_aside(const results_query& query);

}  // namespace marblewharf::idempotency
