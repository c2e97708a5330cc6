// Hosts one policy for each instance on the simulator's wire: standard input to standard output.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"
#include "wire.hpp"

namespace {

using namespace admission_policy;

class host {
 public:
  // Answers one batch; the reply has no header yet.
  std::string answer(time_point now, const std::vector<wire::record>& records) {
    std::string reply;
    for (const wire::record& r : records) {
      instance& i = instances_[r.instance];
      if (const auto* o = std::get_if<wire::opened>(&r.content)) {
        open(reply, r.instance, i, *o, now);
      } else if (std::holds_alternative<wire::crashed>(r.content)) {
        i = instance{};
      } else if (const auto* u = std::get_if<wire::unknown>(&r.content)) {
        if (reported_.insert(u->code).second) std::cerr << "unknown event code " << u->code << " skipped\n";
      } else if (!i.faulty) {
        if (!i.decider) {
          throw wire::bad_frame("event for instance " + std::to_string(r.instance) + ", which is not open");
        }
        i.pending.push_back(std::get<event>(r.content));
        touched_.insert(r.instance);
      }
    }
    for (const wire::instance_id id : touched_) {
      instance& i = instances_[id];
      if (!i.decider) continue;
      for (const action& a : i.decider->handle(now, i.pending)) wire::encode(reply, id, a);
      i.pending.clear();
    }
    touched_.clear();
    return reply;
  }

 private:
  struct instance {
    std::unique_ptr<policy> decider;
    std::vector<event> pending;
    bool faulty = false;
  };

  void open(std::string& reply, wire::instance_id id, instance& i, const wire::opened& o, time_point now) {
    i = instance{};
    try {
      i.decider = std::make_unique<policy>(wire::parse_settings(o.environment), o.seed, now);
      touched_.insert(id);
    } catch (const std::invalid_argument& e) {
      i.faulty = true;
      wire::encode_fault(reply, id, e.what());
    }
  }

  std::map<wire::instance_id, instance> instances_;
  std::set<wire::instance_id> touched_;
  std::set<unsigned> reported_;
};

// Reads up to `size` bytes, less only at the end of input. Memory grows with what arrives, not with what a
// header promises.
std::string read_bytes(std::size_t size) {
  constexpr std::size_t chunk = std::size_t{1} << 20;
  std::string bytes;
  while (bytes.size() < size) {
    const std::size_t had = bytes.size();
    const std::size_t wanted = std::min(chunk, size - had);
    bytes.resize(had + wanted);
    const std::size_t got = std::fread(bytes.data() + had, 1, wanted, stdin);
    bytes.resize(had + got);
    if (got < wanted) break;
  }
  return bytes;
}

void serve() {
  host h;
  while (true) {
    const std::string head = read_bytes(wire::batch_header_size);
    if (head.empty()) return;
    const auto [size, now] = wire::decode_header(head);
    const std::string body = read_bytes(size);
    if (body.size() < size) {
      throw wire::bad_frame("batch cut short: " + std::to_string(body.size()) + " of " +
                            std::to_string(size) + " bytes");
    }
    const std::string reply = h.answer(now, wire::decode_batch(body));
    const std::string header = wire::reply_header(reply.size());
    std::fwrite(header.data(), 1, header.size(), stdout);
    std::fwrite(reply.data(), 1, reply.size(), stdout);
    if (std::fflush(stdout) != 0) throw std::runtime_error("standard output is closed");
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "simulator_adapter: " << e.what() << '\n';
    return 1;
  }
}
