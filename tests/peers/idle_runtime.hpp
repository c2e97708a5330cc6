// A runtime on which nothing runs: it only has to be there, for any number of nodes, also one after the
// other.
#pragma once

#include <atomic>
#include <list>
#include <thread>

#include "frail.hpp"

namespace peers {

class idle_runtime {
 public:
  idle_runtime() : thread_([this] { serve(); }) {}
  ~idle_runtime() {
    over_ = true;
    thread_.join();
  }

  harness::runtime at;  // for the nodes' configuration; nobody else uses it

 private:
  struct link {
    frail talk;
    std::string in;
  };

  void serve() {
    std::list<link> links;
    while (!over_) {
      std::vector<pollfd> all = {{at.door.fd(), POLLIN, 0}};
      for (const link& l : links) all.push_back({l.talk.fd(), POLLIN, 0});
      ::poll(all.data(), all.size(), 20);
      std::size_t i = 1;
      for (auto l = links.begin(); l != links.end(); ++i) {
        const bool ended = all[i].revents != 0 && !l->talk.more(l->in, 0);
        answer(*l);
        l = ended || !l->talk.good() ? links.erase(l) : std::next(l);
      }
      if (all[0].revents != 0) links.push_back({frail::accepted(at.door.fd()), {}});
    }
  }
  static void answer(link& l) {
    for (std::size_t end; (end = l.in.find('\n')) != std::string::npos; l.in.erase(0, end + 1)) {
      const std::string line = l.in.substr(0, end);
      const std::string msg = harness::member(line, "msg");
      if (msg == "sync") l.talk.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}\n");
      if (msg == "gauges")
        l.talk.send("{\"msg\":\"load\",\"cookie\":\"" + harness::member(line, "cookie") +
                    "\",\"stats\":[0.2,1,0.1,3]}\n");
    }
  }

  std::atomic<bool> over_ = false;
  std::thread thread_;
};

}  // namespace peers
