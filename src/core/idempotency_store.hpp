// What the dispatcher asks of whoever keeps the results of keyed requests, and what it is told later. Nothing
// here waits for a disk: what takes one is answered through key_events.
#pragma once

#include <string_view>

#include "core/request.hpp"

namespace marblewharf {

class idempotency_store {
 public:
  enum class standing {
    first,     // unseen before: this request leads
    joins,     // shares the outcome of `leader`
    answered,  // fetch() brings the result
    in_doubt,  // a run began and nobody knows how it ended
    asks,      // the same, and this request leads the inquiry
    conflict,  // the key was used with other content
    no_room,   // nothing new can be recorded for now
  };
  struct opinion {
    standing how = standing::first;
    request_id leader = 0;
    duration come_back{};  // where there is no room
  };

  virtual ~idempotency_store() = default;
  virtual opinion arrive(request_id id, const request& what) = 0;

  // Of a leader. Has the intent written: on_intended() says whether it is on disk.
  virtual void intend(request_id leader, const request& what) = 0;
  // Its run ended with this result: on_recorded() says when that is on disk. False: another one was recorded
  // before.
  virtual bool record(request_id leader, bool served, std::string_view result) = 0;
  virtual void doubt(request_id leader) = 0;    // nothing more will be heard of its run
  virtual void release(request_id leader) = 0;  // proven never to have run
  // The backend was asked and did not know. Returns when to ask again; 0 = not any more.
  virtual duration asked_in_vain(request_id leader) = 0;
  virtual void close(request_id leader) = 0;  // nothing more is asked for it

  // Of one that is answered: on_fetched() brings the result.
  virtual void fetch(request_id id) = 0;
};

class idempotency_observer {
 public:
  virtual ~idempotency_observer() = default;
  virtual void on_intended(request_id leader, bool durable) = 0;
  virtual void on_recorded(request_id leader) = 0;
  // `found` false: it cannot be read. `served` false: the run had failed.
  virtual void on_fetched(request_id id, bool found, bool served, std::string_view result) = 0;
};

}  // namespace marblewharf
