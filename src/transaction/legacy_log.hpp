// Reads the records of a legacy transaction log (the format before tables) and converts them to table rows
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

// Collects the records in the order of the log. The last record of a transaction determines its state. If the
// begin record of a transaction has expired, a later record that contains the whole request takes its place.
class legacy_log {
 public:
  void add_record(std::uint32_t type, std::string_view body);
  bool empty() const { return empty_; }
  // Returns the rows that are not expired at `now` (nanoseconds of Unix time). The last batch marks the
  // migration as complete and must be written only after all others are durable. Writing a batch more than
  // once is harmless.
  std::vector<store::batch> migrate(std::int64_t now, std::uint64_t salt) const;

 private:
  struct found_transaction {
    begin_record begin;
    log_record last{};
    bool committed = false;
    std::int64_t expiry = 0;  // nanoseconds of Unix time
    std::string result;
  };
  bool empty_ = true;
  std::map<transaction_id, found_transaction> transactions_;
};

}  // namespace marblewharf::transaction
