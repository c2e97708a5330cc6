#include "core/request_table.hpp"

#include <algorithm>
#include <utility>

#include "core/coalesced_group.hpp"

namespace marblewharf {
namespace {

std::vector<std::uint64_t>& class_counters_of(telemetry::counters& counters, response_status status) {
  switch (status) {
    case response_status::served: return counters.served_by_class;
    case response_status::rejected: return counters.rejected_by_class;
    case response_status::failed: break;
  }
  return counters.failed_by_class;
}

std::uint64_t& counter_of(telemetry::counters& counters, response_status status) {
  switch (status) {
    case response_status::served: return counters.served;
    case response_status::rejected: return counters.rejected;
    case response_status::failed: break;
  }
  return counters.failed;
}

}  // namespace

request_entry::request_entry(request_id entry_id, front& entry_front, backend& entry_backend,
                             request entry_details)
    : id(entry_id),
      details(std::move(entry_details)),
      receiving_front(entry_front),
      target_backend(entry_backend) {}

request_entry::~request_entry() = default;

request_table::request_table(std::size_t request_classes, telemetry::counters& counters)
    : counters_(counters) {
  counters_.served_by_class.assign(request_classes, 0);
  counters_.rejected_by_class.assign(request_classes, 0);
  counters_.failed_by_class.assign(request_classes, 0);
}

// Ids wrap around. Skips 0, which means no request, and the ids of requests that are still open.
request_id request_table::next_id() {
  do {
    ++last_id_;
  } while (last_id_ == 0 || entries_.contains(last_id_));
  return last_id_;
}

request_entry& request_table::add(front& receiving_front, backend& target_backend, request&& details) {
  const request_id id = next_id();
  const auto [inserted, is_new] =
      entries_.try_emplace(id, id, receiving_front, target_backend, std::move(details));
  return inserted->second;
}

request_entry* request_table::find(request_id id) {
  const auto found = entries_.find(id);
  return found != entries_.end() ? &found->second : nullptr;
}

void request_table::respond(request_entry& entry, const answer& final_answer) {
  if (std::exchange(entry.answered, true)) return;
  ++counter_of(counters_, final_answer.status);
  std::vector<std::uint64_t>& by_class = class_counters_of(counters_, final_answer.status);
  if (entry.details.request_class < by_class.size()) ++by_class[entry.details.request_class];
  entry.receiving_front.respond(entry.id, final_answer);
}

std::size_t request_table::count_unanswered() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                [](const auto& entry) { return !entry.second.answered; }));
}

std::size_t request_table::count_started() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.stage != request_stage::queued;
  }));
}

std::size_t request_table::count_queued_unanswered() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.stage == request_stage::queued && !entry.second.answered;
  }));
}

}  // namespace marblewharf
