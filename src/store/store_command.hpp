// The command `marblewharf store`: inspects and maintains a folder of tables that no process has locked.
#pragma once

#include <cstdint>
#include <string>

namespace marblewharf::store {

struct store_query {
  std::string folder, target;                      // `target`: the target of backup and restore
  std::string table;                               // for dump; empty = all tables
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes; for compact and backup: the same as in the
                                                   // settings of the store's owner
  std::uint64_t space = std::uint64_t{1} << 30;    // bytes; also as in those settings
  double amplification = 2;
};

// Each function prints to standard output and throws store::io_error or store::damaged.
void show_store(const store_query& q);     // counts, after reading the whole folder
void verify_store(const store_query& q);   // verifies all checksums, and the checkpoint against the log
void dump_store(const store_query& q);     // one line per key
void compact_store(const store_query& q);  // cleans until cleaning is not needed, then writes a checkpoint
void backup_store(const store_query& q);   // to the empty folder `target`
void restore_store(const store_query& q);  // from the backup in `folder` to the empty folder `target`

}  // namespace marblewharf::store
