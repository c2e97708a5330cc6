// A participant of transactions that the tests control.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "../peers/uwsgi_server.hpp"
#include "harness.hpp"

namespace harness {

// A participant on a fake uwsgi server. Records for each key the steps that it confirmed, in their order.
class participant {
 public:
  // `script` answers each step; it is called on the server's thread.
  explicit participant(std::function<peers::reaction(const peers::uwsgi_request&)> script =
                           [](const peers::uwsgi_request&) { return peers::reaction{}; })
      : script_(std::move(script)), server([this](const peers::uwsgi_request& q) { return step(q); }) {}
  // Replaces the script; may be called from any thread.
  void change(std::function<peers::reaction(const peers::uwsgi_request&)> script) {
    const std::lock_guard lock(guard_);
    script_ = std::move(script);
  }
  // The first letters of the confirmed steps of a key: `p` prepare, `c` commit, `a` abort.
  std::string steps(const std::string& key) {
    const std::lock_guard lock(guard_);
    return steps_[key];
  }
  // The number of transactions that sent at least one step to this participant.
  std::size_t transactions() {
    const std::lock_guard lock(guard_);
    return transactions_.size();
  }

 private:
  peers::reaction step(const peers::uwsgi_request& q) {
    const std::lock_guard lock(guard_);
    transactions_.insert(q.vars.at("WRITE_ID"));
    const peers::reaction r = script_(q);
    if (r.how == peers::manner::whole) steps_[q.vars.at("KEY")] += q.vars.at("STEP")[0];
    return r;
  }
  std::mutex guard_;
  std::function<peers::reaction(const peers::uwsgi_request&)> script_;
  std::map<std::string, std::string> steps_;
  std::set<std::string> transactions_;

 public:
  peers::uwsgi_server server;  // the last member: its thread uses the others and ends first
};

inline void wait_until(const std::function<bool()>& done) {
  const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
  while (!done()) {
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(20ms);
  }
}

}  // namespace harness
