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

// All instances of one simulation, by their numbers on the wire.
class host {
 public:
  // Answers one batch; the reply has no header yet.
  std::string answer(time_point now, const std::vector<wire::record>& records) {
    std::string reply;
    for (const wire::record& record : records) take(reply, record, now);
    for (const wire::instance_id id : touched_) {
      instance& touched = instances_[id];
      if (!touched.decider) continue;
      for (const action& decided : touched.decider->handle(now, touched.pending))
        wire::encode(reply, id, decided);
      touched.pending.clear();
    }
    touched_.clear();
    return reply;
  }

 private:
  struct instance {
    std::unique_ptr<policy> decider;  // null until the instance is opened
    std::vector<event> pending;       // of the present batch
    bool faulty = false;              // its settings could not be used: its events are dropped
  };

  void take(std::string& reply, const wire::record& record, time_point now) {
    instance& addressed = instances_[record.instance];
    if (const auto* opened = std::get_if<wire::opened>(&record.content)) {
      open(reply, record.instance, addressed, *opened, now);
    } else if (std::holds_alternative<wire::crashed>(record.content)) {
      addressed = instance{};
    } else if (const auto* unknown = std::get_if<wire::unknown>(&record.content)) {
      const bool first = reported_.insert(unknown->code).second;
      if (first) std::cerr << "unknown event code " << unknown->code << " skipped\n";
    } else if (!addressed.faulty) {
      if (!addressed.decider) {
        throw wire::bad_frame("event for instance " + std::to_string(record.instance) +
                              ", which is not open");
      }
      addressed.pending.push_back(std::get<event>(record.content));
      touched_.insert(record.instance);
    }
  }

  void open(std::string& reply, wire::instance_id id, instance& opening, const wire::opened& request,
            time_point now) {
    opening = instance{};
    try {
      opening.decider =
          std::make_unique<policy>(wire::parse_settings(request.environment), request.seed, now);
      touched_.insert(id);
    } catch (const std::invalid_argument& error) {
      opening.faulty = true;
      wire::encode_fault(reply, id, error.what());
    }
  }

  std::map<wire::instance_id, instance> instances_;
  std::set<wire::instance_id> touched_;
  std::set<unsigned> reported_;  // unknown codes, each reported once
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
  host simulated;
  while (true) {
    const std::string head = read_bytes(wire::batch_header_size);
    if (head.empty()) return;
    const auto [size, now] = wire::decode_header(head);
    const std::string body = read_bytes(size);
    if (body.size() < size) {
      throw wire::bad_frame("batch cut short: " + std::to_string(body.size()) + " of " +
                            std::to_string(size) + " bytes");
    }
    const std::string reply = simulated.answer(now, wire::decode_batch(body));
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
