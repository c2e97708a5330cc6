// Interface of the components that receive requests from clients and send the answers.
#pragma once

#include "core/request.hpp"

namespace marblewharf {

// Implemented by the server side of each wire protocol. Called on the dispatcher's thread.
class front {
 public:
  virtual ~front() = default;
  // Sends the final answer to a request that this front passed to the dispatcher. Called exactly once for
  // each request, and never for a request that the front reported as cancelled. The views in `final_answer`
  // are valid only during the call. If an exception keeps this answer from being sent, the front counts it
  // and answers the request as failed, or closes the connection if that is impossible, too.
  virtual void respond(request_id id, const answer& final_answer) = 0;
  // Sets the time after which idle client connections are closed; 0 = never.
  virtual void close_idle(duration idle_timeout) = 0;
};

}  // namespace marblewharf
