// Interface of the components that run requests.
#pragma once

#include "core/request.hpp"

namespace marblewharf {

// A backend's reply to an inquiry about a request whose outcome the dispatcher does not know.
enum class inquiry_outcome {
  completed,  // the run completed, and the reply contains its result
  never_ran,  // proven not to have run
  unknown,    // the backend does not know the outcome or did not reply
};

// A backend reports the end of each run exactly once, through dispatcher::on_run_ended(). All functions are
// called on the dispatcher's thread.
class backend {
 public:
  virtual ~backend() = default;
  // Begins a run. `details` stays valid until the end of the run is reported.
  virtual void run(request_id id, const request& details) = 0;
  // Stops a run: pauses or aborts it, according to the halt mode of the settings. An aborted run ends with
  // run_end::aborted.
  virtual void pause(request_id id) = 0;
  virtual void resume(request_id id) = 0;
  // Asks for the outcome of a keyed request for which the end of the run was never reported. The backend
  // replies through dispatcher::on_inquiry_reply(). Returns false, and never replies, if the backend does not
  // support inquiries.
  virtual bool inquire(request_id, const request&) { return false; }
  // Reply to dispatcher::on_dependency_call_needed(): the run may make its dependency call, with a timeout of
  // `limit`.
  virtual void place_call(request_id, duration /*limit*/) {}
  // Reply to dispatcher::on_dependency_call_needed(): the run continues without its dependency call.
  virtual void skip_call(request_id) {}
};

}  // namespace marblewharf
