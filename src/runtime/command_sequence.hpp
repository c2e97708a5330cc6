// Sends commands to the runtime. Records in each run which command was sent last and which gauge query
// confirms that the command has arrived.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"
#include "core/request.hpp"
#include "outcome/effect.hpp"
#include "runtime/gauge_queries.hpp"
#include "runtime/messages.hpp"
#include "runtime/tracked_run.hpp"
#include "runtime/transport.hpp"

namespace marblewharf::runtime {

// Sending a command can reveal that the connection is lost; the transport then notifies its observer. Used
// only on the reactor's thread.
class command_sequence {
 public:
  // All arguments outlive this object.
  command_sequence(transport& connection, const limits& bounds,
                   const std::vector<admission_policy::class_settings>& classes);

  // All commands from now on are sent on a new connection, or to a restarted runtime.
  void begin_connection();
  void begin_incarnation();
  // The connection in use, and the runtime process at its other end.
  const outcome::origin& origin() const { return origin_; }

  void sync(std::uint64_t last_serial);
  // Requests the gauges; returns the number of the query.
  std::uint64_t query_gauges(time_point now);
  void start(tracked_run& run);
  // Sends stop or continue, whichever the dispatcher requested last.
  void stop_or_continue(tracked_run& run);
  // Stops the run only to find out whether its start command arrived.
  void probe(tracked_run& run);
  // Sends a stop for a run without tracking its delivery.
  void stop(const std::string& label);

  gauge_queries& queries() { return queries_; }
  const gauge_queries& queries() const { return queries_; }

 private:
  void send(const any_command& command);
  // Marks the run's last command as undelivered until the next gauge query is answered.
  void expect_delivery(tracked_run& run);

  transport& transport_;
  const std::vector<admission_policy::class_settings>& classes_;
  gauge_queries queries_;
  outcome::origin origin_;
};

}  // namespace marblewharf::runtime
