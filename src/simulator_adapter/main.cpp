// Runs one admission policy per simulated instance. Reads event batches from standard input and writes the
// actions to standard output in the simulator's wire protocol.
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

// The policies of all instances of one simulation.
class policy_host {
 public:
  // Processes one batch and returns the reply without its header.
  std::string process_batch(time_point now, const std::vector<wire::record>& records) {
    std::string reply;
    for (const wire::record& record : records) process_record(reply, record, now);
    for (const wire::instance_id id : addressed_ids_) {
      instance& addressed = instances_[id];
      if (!addressed.admission) continue;
      for (const action& decided : addressed.admission->handle(now, addressed.pending_events))
        wire::encode(reply, id, decided);
      addressed.pending_events.clear();
    }
    addressed_ids_.clear();
    return reply;
  }

 private:
  struct instance {
    std::unique_ptr<policy> admission;  // null until the instance is opened
    std::vector<event> pending_events;  // of the current batch
    bool faulty = false;                // the settings were invalid; events of the instance are ignored
  };

  void process_record(std::string& reply, const wire::record& record, time_point now) {
    instance& addressed = instances_[record.instance];
    if (const auto* opened = std::get_if<wire::instance_opened>(&record.content)) {
      open(reply, record.instance, addressed, *opened, now);
    } else if (std::holds_alternative<wire::instance_crashed>(record.content)) {
      addressed = instance{};
    } else if (const auto* unknown = std::get_if<wire::unknown_record>(&record.content)) {
      const bool first_report = reported_codes_.insert(unknown->code).second;
      if (first_report)
        std::cerr << "simulator_adapter: skipping records with unknown event code " << unknown->code << '\n';
    } else if (!addressed.faulty) {
      if (!addressed.admission) {
        throw wire::bad_frame("event for instance " + std::to_string(record.instance) +
                              ", but the instance has not been opened");
      }
      addressed.pending_events.push_back(std::get<event>(record.content));
      addressed_ids_.insert(record.instance);
    }
  }

  void open(std::string& reply, wire::instance_id id, instance& opened,
            const wire::instance_opened& parameters, time_point now) {
    opened = instance{};
    try {
      opened.admission =
          std::make_unique<policy>(wire::parse_settings(parameters.environment), parameters.seed, now);
      addressed_ids_.insert(id);
    } catch (const std::invalid_argument& error) {
      opened.faulty = true;
      wire::encode_fault(reply, id, error.what());
    }
  }

  std::map<wire::instance_id, instance> instances_;
  std::set<wire::instance_id> addressed_ids_;  // instances with events in the current batch
  std::set<unsigned> reported_codes_;          // unknown event codes that have been reported
};

// Reads `size` bytes, or fewer at the end of the input. Memory is allocated in chunks as bytes arrive, so
// that a wrong size in a header cannot cause a huge allocation.
std::string read_bytes(std::size_t size) {
  constexpr std::size_t chunk_size = std::size_t{1} << 20;
  std::string bytes;
  while (bytes.size() < size) {
    const std::size_t bytes_read = bytes.size();
    const std::size_t wanted = std::min(chunk_size, size - bytes_read);
    bytes.resize(bytes_read + wanted);
    const std::size_t got = std::fread(bytes.data() + bytes_read, 1, wanted, stdin);
    bytes.resize(bytes_read + got);
    if (got < wanted) break;
  }
  return bytes;
}

void serve() {
  policy_host host;
  while (true) {
    const std::string head = read_bytes(wire::batch_header_size);
    if (head.empty()) return;
    const auto [size, now] = wire::decode_header(head);
    const std::string body = read_bytes(size);
    if (body.size() < size) {
      throw wire::bad_frame("input ended within a batch: got " + std::to_string(body.size()) + " of " +
                            std::to_string(size) + " bytes");
    }
    const std::string reply = host.process_batch(now, wire::decode_batch(body));
    const std::string header = wire::reply_header(reply.size());
    std::fwrite(header.data(), 1, header.size(), stdout);
    std::fwrite(reply.data(), 1, reply.size(), stdout);
    if (std::fflush(stdout) != 0) throw std::runtime_error("writing to standard output failed");
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "simulator_adapter: " << error.what() << '\n';
    return 1;
  }
}
