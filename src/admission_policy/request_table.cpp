#include "admission_policy/request_table.hpp"

#include <algorithm>

namespace admission_policy {

request& request_table::enqueue(const request& added) {
  request& kept = requests_.emplace(added.id, added).first->second;
  add_to_index(kept);
  return kept;
}

request* request_table::find(request_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void request_table::move(request& moved, request_state to) {
  remove_from_index(moved);
  moved.state = to;
  add_to_index(moved);
}

void request_table::remove(request& removed) {
  clear_deadline(removed);
  requests_.erase(removed.id);
}

std::size_t request_table::started() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(), [](const auto& entry) { return was_started(entry.second.state); }));
}

void request_table::set_deadline(request& of, time_point deadline) {
  clear_deadline(of);
  of.deadline = deadline;
  deadlines_.insert({deadline, of.id, &of});
}

void request_table::clear_deadline(request& of) {
  deadlines_.erase({of.deadline, of.id, &of});
}

std::optional<time_point> request_table::next_deadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->time;
}

request* request_table::next_due(time_point now) {
  if (deadlines_.empty() || deadlines_.begin()->time > now) return nullptr;
  return deadlines_.begin()->entry;
}

void request_table::remove_from_index(request& leaving) {
  switch (leaving.state) {
    case request_state::queued: queue_.erase({leaving.finish_tag, leaving.id, &leaving}); break;
    case request_state::running: running_.erase({leaving.running_since, leaving.id, &leaving}); break;
    case request_state::awaiting_call:
      awaiting_call_.erase({leaving.finish_tag, leaving.id, &leaving});
      break;
    case request_state::in_call: --in_call_; break;
    case request_state::sharing_result:
    case request_state::ending: break;
  }
}

void request_table::add_to_index(request& entering) {
  switch (entering.state) {
    case request_state::queued: queue_.insert({entering.finish_tag, entering.id, &entering}); break;
    case request_state::running: running_.insert({entering.running_since, entering.id, &entering}); break;
    case request_state::awaiting_call:
      awaiting_call_.insert({entering.finish_tag, entering.id, &entering});
      break;
    case request_state::in_call: ++in_call_; break;
    case request_state::sharing_result:
    case request_state::ending: break;
  }
}

}  // namespace admission_policy
