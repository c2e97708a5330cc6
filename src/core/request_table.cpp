#include "core/request_table.hpp"

#include <algorithm>
#include <utility>

#include "core/coalesced_group.hpp"

namespace marblewharf {
namespace {

std::vector<std::uint64_t>& class_counters_of(telemetry::counters& counters, response_status status) {
  switch (status) {
    case response_status::served: return counters.served_by_class;
    case response_status::rejected: return counters.refused_by_class;
    case response_status::failed: break;
  }
  return counters.failed_by_class;
}

std::uint64_t& counter_of(telemetry::counters& counters, response_status status) {
  switch (status) {
    case response_status::served: return counters.served;
    case response_status::rejected: return counters.refused;
    case response_status::failed: break;
  }
  return counters.failed;
}

}  // namespace

request_entry::request_entry(request_id entry_id, front& from, backend& to, request details)
    : id(entry_id), what(std::move(details)), source(from), target(to) {}

request_entry::~request_entry() = default;

request_table::request_table(std::size_t request_classes, telemetry::counters& counters)
    : counters_(counters) {
  counters_.served_by_class.assign(request_classes, 0);
  counters_.refused_by_class.assign(request_classes, 0);
  counters_.failed_by_class.assign(request_classes, 0);
}

// Ids wrap around: 0 stands for no request, and one that is still open is passed over.
request_id request_table::next_id() {
  do {
    ++last_id_;
  } while (last_id_ == 0 || entries_.contains(last_id_));
  return last_id_;
}

request_entry& request_table::add(front& from, backend& to, request&& details) {
  const request_id id = next_id();
  const auto [added, is_new] = entries_.try_emplace(id, id, from, to, std::move(details));
  return added->second;
}

request_entry* request_table::find(request_id id) {
  const auto found = entries_.find(id);
  return found != entries_.end() ? &found->second : nullptr;
}

void request_table::respond(request_entry& entry, const answer& final) {
  if (std::exchange(entry.answered, true)) return;
  ++counter_of(counters_, final.status);
  std::vector<std::uint64_t>& by_class = class_counters_of(counters_, final.status);
  if (entry.what.request_class < by_class.size()) ++by_class[entry.what.request_class];
  entry.source.respond(entry.id, final);
}

std::size_t request_table::unanswered() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                [](const auto& each) { return !each.second.answered; }));
}

std::size_t request_table::started() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& each) {
    return each.second.stage != request_stage::queued;
  }));
}

std::size_t request_table::queued_unanswered() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& each) {
    return each.second.stage == request_stage::queued && !each.second.answered;
  }));
}

}  // namespace marblewharf
