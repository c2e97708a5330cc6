// The interface of what receives requests from clients and sends them their answers.
#pragma once

#include "core/request.hpp"

namespace marblewharf {

// Implemented by each server side of a wire. Called on the dispatcher's thread.
class front {
 public:
  virtual ~front() = default;
  // The final answer of a request that this front handed to the dispatcher, exactly once; never for one that
  // it reported as cancelled. The views in `final` are valid during the call only.
  virtual void respond(request_id id, const answer& final) = 0;
  // Idle client connections are to be closed once they have been idle for this long; 0 = never.
  virtual void close_idle(duration after) = 0;
};

}  // namespace marblewharf
