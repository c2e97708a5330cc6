// The interface of what runs requests.
#pragma once

#include "core/request.hpp"

namespace marblewharf {

// What a backend says of a request whose outcome is unknown here.
enum class inquiry_end {
  result,     // it ran to its end, and the result comes with the reply
  never_ran,  // proven
  unknown,    // the backend does not know either, or did not reply
};

// Reports the end of each run once, through dispatcher::on_end(). Called on the dispatcher's thread.
class backend {
 public:
  virtual ~backend() = default;
  // Begins a run. `what` stays valid until its end is reported.
  virtual void run(request_id id, const request& what) = 0;
  // Stops a run, by the halt mode of the settings. A run that is aborted by it reports run_end::aborted.
  virtual void pause(request_id id) = 0;
  virtual void resume(request_id id) = 0;
  // Asks for the outcome of a keyed request whose run's end was never reported. The reply comes through
  // dispatcher::on_inquired(). False: this backend cannot be asked, and no reply will come.
  virtual bool inquire(request_id, const request&) { return false; }
  // Reply to dispatcher::on_call_needed(): the dependency call may be made, and take at most `limit`.
  virtual void place_call(request_id, duration /*limit*/) {}
  // Reply to dispatcher::on_call_needed(): the run is to go on without its dependency call.
  virtual void skip_call(request_id) {}
};

}  // namespace marblewharf
