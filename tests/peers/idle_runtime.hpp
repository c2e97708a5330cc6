// A fake runtime that answers sync and gauges on a thread of its own and runs nothing. Any number of nodes
// may connect to it, at once or one after another.
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
    stopping_ = true;
    thread_.join();
  }

  harness::runtime at;  // the listener that the nodes' configuration names

 private:
  struct link {
    frail connection;
    std::string in;
  };

  void serve() {
    std::list<link> links;
    while (!stopping_) {
      std::vector<pollfd> polled = {{at.door.fd(), POLLIN, 0}};
      for (const link& l : links) polled.push_back({l.connection.fd(), POLLIN, 0});
      ::poll(polled.data(), polled.size(), 20);
      std::size_t i = 1;
      for (auto l = links.begin(); l != links.end(); ++i) {
        const bool ended = polled[i].revents != 0 && !l->connection.more(l->in, 0);
        answer(*l);
        l = ended || !l->connection.good() ? links.erase(l) : std::next(l);
      }
      if (polled[0].revents != 0) links.push_back({frail::accepted(at.door.fd()), {}});
    }
  }
  static void answer(link& l) {
    for (std::size_t end; (end = l.in.find('\n')) != std::string::npos; l.in.erase(0, end + 1)) {
      const std::string line = l.in.substr(0, end);
      const std::string msg = harness::member(line, "msg");
      if (msg == "sync") l.connection.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}\n");
      if (msg == "gauges")
        l.connection.send("{\"msg\":\"load\",\"cookie\":\"" + harness::member(line, "cookie") +
                          "\",\"stats\":[0.2,1,0.1,3]}\n");
    }
  }

  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace peers
