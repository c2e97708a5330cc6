// `marblewharf store`: what a folder of tables holds, while no process has it.
#pragma once

#include <cstdint>
#include <string>

namespace marblewharf::store {

struct store_query {
  std::string folder, to;
  std::string table;                               // of dump; empty: all
  std::uint64_t segment = std::uint64_t{8} << 20;  // of compact: as the store's owner has them
  std::uint64_t space = std::uint64_t{1} << 30;
  double amplification = 2;
};

// Each prints to standard output and throws store::io_error or store::damaged.
void show_store(const store_query& q);     // figures, from reading all of it
void verify_store(const store_query& q);   // every sum, and the checkpoint against the log
void dump_store(const store_query& q);     // a line a key
void compact_store(const store_query& q);  // cleans until nothing is left to gain, then writes a checkpoint
void backup_store(const store_query& q);   // to `to`, which holds nothing
void restore_store(const store_query& q);  // from `folder` to `to`, which holds nothing

}  // namespace marblewharf::store
