// Interface of the components that run requests.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/request.hpp"

namespace marblewharf {

// A backend reports the end of each run exactly once, through dispatcher::on_run_ended(). All functions are
// called on the dispatcher's thread.
class backend {
 public:
  virtual ~backend() = default;
  // Chooses the server for the run of a keyed request, so that the run's intent can name it before the run
  // begins. `unreachable`: servers that this run could not reach. Returns an empty name if the backend does
  // not distinguish servers, and nothing if no other server is left.
  virtual std::optional<std::string> choose_server(const request&,
                                                   const std::vector<std::string>& /*unreachable*/) {
    return std::string();
  }
  // Begins a run. `details` stays valid until the end of the run is reported. If `details` names a server,
  // the run goes to this server only; dispatcher::on_server_unreachable() reports that it got no byte of it.
  virtual void run(request_id id, const request& details) = 0;
  // Stops a run: pauses or aborts it, according to the halt mode of the settings. An aborted run ends with
  // run_end::aborted.
  virtual void pause(request_id id) = 0;
  virtual void resume(request_id id) = 0;
  // Asks for the outcome of a keyed request for which the end of the run was never reported. The backend
  // replies through dispatcher::on_inquiry_reply(). Only the server that `details` names can prove that the
  // request never ran. Returns false, and never replies, if the backend does not support inquiries or no
  // longer has this server.
  virtual bool inquire(request_id, const request&) { return false; }
  // Reply to dispatcher::on_dependency_call_needed(): the run may make its dependency call, with a timeout of
  // `limit`.
  virtual void place_call(request_id, duration /*limit*/) {}
  // Reply to dispatcher::on_dependency_call_needed(): the run continues without its dependency call.
  virtual void skip_call(request_id) {}
  // The run waits for a reply to dispatcher::on_dependency_call_needed() that will not come, because its
  // request needs no answer any more. Ends the run, which has had no effect, with run_end::never_started.
  virtual void end_waiting_run(request_id) {}
};

}  // namespace marblewharf
