// Numbers the queries for the runtime's gauges and keeps the latest answer. Performs no I/O.
//
// The runtime executes commands in the order in which they were sent. The answer to a gauge query therefore
// confirms that all commands sent before the query on the same connection have arrived. The number of the
// next query serves as the fence of a command that is sent now.
#pragma once

#include <cstdint>
#include <vector>

#include "config/limits.hpp"
#include "core/request.hpp"
#include "runtime/messages.hpp"

namespace marblewharf::runtime {

class gauge_queries {
 public:
  // `bounds` outlives this object.
  explicit gauge_queries(const limits& bounds);

  // Returns the command for the next query. The query after that is due at due().
  gauges_command next_query(time_point now);
  time_point next_due() const { return next_due_; }

  // Number of the last query that was sent (0: none yet), and of the next one.
  std::uint64_t last_number() const { return last_number_; }
  std::uint64_t next_number() const { return last_number_ + 1; }

  // Stores the gauges of an answer. Returns the number of the answered query, or 0 if the cookie is not a
  // number.
  std::uint64_t on_answer(const gauges_notice& answer, time_point now);

  // The gauges of the latest answer; empty if that answer is older than `gauge_max_age`.
  std::vector<double> gauges(time_point now) const;

 private:
  const limits& bounds_;
  std::uint64_t last_number_ = 0;
  time_point next_due_{};
  std::vector<double> gauges_;
  time_point answered_at_{};
};

}  // namespace marblewharf::runtime
