// `marblewharf results`: what the folder of a stopped node holds.
#pragma once

#include <string>

namespace marblewharf::idempotency {

struct results_query {
  std::string folder;
  std::string tenant, request_class, key;  // of show
  std::string segment;                     // of set-aside: the file's name
};

// Each prints to standard output and throws store::io_error or store::damaged; the folder must be no
// process's.
void list_results(const results_query& q);
// The kept result byte for byte. False: the key is not known, or in doubt; standard error says which.
bool show_result(const results_query& q);
void verify_results(const results_query& q);
// Takes a damaged segment out of use: what is in it is forgotten, and its keys may run again.
void set_segment_aside(const results_query& q);

}  // namespace marblewharf::idempotency
