// The records of a transaction log from before it had tables, and the rows that are made of them
// (docs/store.md).
//
// Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "store/tables.hpp"
#include "transaction/log_records.hpp"

namespace marblewharf::transaction {

// Collects the records in the order of the log. The last record of a transaction counts; one that holds the
// whole request begins a transaction whose own begin record has expired.
class legacy_log {
 public:
  void add_record(std::uint32_t type, std::string_view body);
  bool empty() const { return empty_; }
  // The rows that still count at `now` (ns of Unix time). The last batch says that the migration is whole: it
  // must be written after all others are durable. Writing a batch twice changes nothing.
  std::vector<store::batch> migrate(std::int64_t now, std::uint64_t salt) const;

 private:
  struct found_transaction {
    begin_record begin;
    log_record last{};
    bool committed = false;
    std::int64_t expiry = 0;  // ns of Unix time
    std::string result;
  };
  bool empty_ = true;
  std::map<transaction_id, found_transaction> transactions_;
};

}  // namespace marblewharf::transaction
