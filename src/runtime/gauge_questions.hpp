// The numbered questions for the runtime's gauges. Free of I/O.
//
// The runtime carries out commands in their order, so the answer to a question shows that all commands sent
// before it on the same connection have arrived: the number of the next question is the fence of a command
// sent now.
#pragma once

#include <cstdint>
#include <vector>

#include "config/limits.hpp"
#include "core/request.hpp"
#include "runtime/messages.hpp"

namespace marblewharf::runtime {

class gauge_questions {
 public:
  // `bounds` outlives this object.
  explicit gauge_questions(const limits& bounds);

  // The next question; the one after it is due at due().
  gauges_command ask(time_point now);
  time_point due() const { return due_; }

  // Numbers of the question asked last (0: none yet) and of the one to be asked next.
  std::uint64_t last() const { return last_; }
  std::uint64_t next() const { return last_ + 1; }

  // Keeps the gauges of an answer; returns the number of its question, 0 where the answer names none.
  std::uint64_t on_answer(const gauges_notice& answer, time_point now);

  // The gauges answered last; empty where they are older than `gauges_stale`.
  std::vector<double> gauges(time_point now) const;

 private:
  const limits& bounds_;
  std::uint64_t last_ = 0;
  time_point due_{};
  std::vector<double> gauges_;
  time_point answered_at_{};
};

}  // namespace marblewharf::runtime
