// A fake runtime for one process of a node, on a thread of its own, whose cores can stand still and whose
// link can break. Follows the operators' protocol: stops pause, runs go on while no link exists, a start of a
// run in progress has no effect, notices are repeated after a reconnect.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base64.hpp"
#include "frail.hpp"

namespace peers {

using namespace std::chrono_literals;

// Counts the runs of each body at all runtimes.
class run_counts {
 public:
  // Returns the number of this run of the body, from 1.
  int begin(const std::string& body) {
    const std::lock_guard lock(guard_);
    return ++begun_[body];
  }
  std::map<std::string, int> begun() const {
    const std::lock_guard lock(guard_);
    return begun_;
  }

 private:
  mutable std::mutex guard_;
  std::map<std::string, int> begun_;
};

class faulty_runtime {
 public:
  faulty_runtime(run_counts& counts, std::uint64_t seed)
      : counts_(counts), random_(seed), thread_([this] { serve(); }) {}
  ~faulty_runtime() {
    stopping_ = true;
    thread_.join();
  }

  harness::runtime at;                   // the listener that the node's configuration names
  std::atomic<bool> still = false;       // the cores stand still: runs make no progress, stops have no effect
  std::atomic<bool> break_link = false;  // the link breaks behind the next start

 private:
  using clock = harness::clock;
  struct run_state {
    std::string result;
    clock::duration left{};
    bool paused = false;
  };

  void serve() {
    clock::time_point last = clock::now();
    while (!stopping_) {
      const bool accepts = clock::now() >= accept_from_;
      pollfd polled[] = {{accepts ? at.door.fd() : -1, POLLIN, 0}, {link_ ? link_->fd() : -1, POLLIN, 0}};
      ::poll(polled, 2, 1);
      if (polled[0].revents != 0) accept();
      if (link_ && polled[1].revents != 0) read();
      const clock::time_point now = clock::now();
      if (!still) advance(now - last);
      last = now;
    }
  }
  void accept() {
    link_.emplace(frail::accepted(at.door.fd()));
    in_.clear();
    synced_ = false;
  }
  void close() {
    link_.reset();
    in_.clear();
  }
  void read() {
    if (!link_->more(in_, 0)) {
      close();
      return;
    }
    for (std::size_t end; link_ && (end = in_.find('\n')) != std::string::npos;) {
      const std::string line = in_.substr(0, end);
      in_.erase(0, end + 1);
      execute(line);
    }
  }
  void send(const std::string& line) {
    if (link_) link_->send(line + "\n");
  }
  void execute(const std::string& line) {
    const std::string command = harness::member(line, "msg"), label = harness::member(line, "call");
    if (command == "sync") {
      send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
      for (std::size_t serial = std::stoul(harness::member(line, "serial")); serial < notices_.size();
           ++serial)
        send(notices_[serial]);
      synced_ = true;
    } else if (command == "gauges") {
      send("{\"msg\":\"load\",\"cookie\":\"" + harness::member(line, "cookie") +
           "\",\"stats\":[0.2,1,0.1,3]}");
    } else if (command == "start") {
      start(label, unbase64(harness::member(line, "blob")));
    } else if (command == "stop") {
      stop(label);
    } else if (command == "cont") {
      if (const auto found = runs_.find(label); found != runs_.end()) found->second.paused = false;
    }
  }
  void start(const std::string& label, const std::string& body) {
    if (!runs_.contains(label)) {
      constexpr int shortest_run_ms = 1, longest_run_ms = 40;
      const auto length = std::chrono::milliseconds(
          std::uniform_int_distribution<int>(shortest_run_ms, longest_run_ms)(random_));
      runs_[label] = {body + "#" + std::to_string(counts_.begin(body)), length, false};
    }
    if (!break_link.exchange(false)) return;
    close();
    accept_from_ =
        clock::now() + std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 300)(random_));
  }
  void stop(const std::string& label) {
    const auto found = runs_.find(label);
    if (found == runs_.end() || still || found->second.paused) return;
    found->second.paused = true;
    end(label, "broken_off", "");
  }
  void advance(clock::duration elapsed) {
    for (auto run = runs_.begin(); run != runs_.end();) {
      if (run->second.paused || (run->second.left -= elapsed) > 0ns) {
        ++run;
        continue;
      }
      end(run->first, "fine", ",\"blob\":\"" + base64(run->second.result) + "\"");
      run = runs_.erase(run);
    }
  }
  void end(const std::string& label, const std::string& outcome, const std::string& blob) {
    notices_.push_back("{\"msg\":\"end\",\"serial\":" + std::to_string(notices_.size() + 1) + ",\"call\":\"" +
                       label + "\",\"how\":\"" + outcome + "\",\"duration\":1.0" + blob + "}");
    if (synced_) send(notices_.back());
  }

  run_counts& counts_;
  std::mt19937_64 random_;
  std::optional<frail> link_;
  std::string in_;
  bool synced_ = false;
  clock::time_point accept_from_{};
  std::map<std::string, run_state> runs_;  // by label
  std::vector<std::string> notices_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace peers
