#include "admission_policy/request_table.hpp"

#include <algorithm>

namespace admission_policy {

request& request_table::enqueue(const request& new_request) {
  request& stored = requests_.emplace(new_request.id, new_request).first->second;
  add_to_index(stored);
  return stored;
}

request* request_table::find(request_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void request_table::change_state(request& target, request_state new_state) {
  remove_from_index(target);
  target.state = new_state;
  add_to_index(target);
}

void request_table::remove(request& target) {
  clear_deadline(target);
  requests_.erase(target.id);
}

std::size_t request_table::started_count() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(), [](const auto& entry) { return was_started(entry.second.state); }));
}

void request_table::set_deadline(request& target, time_point deadline) {
  clear_deadline(target);
  target.deadline = deadline;
  deadlines_.insert({deadline, target.id, &target});
}

void request_table::clear_deadline(request& target) {
  deadlines_.erase({target.deadline, target.id, &target});
}

std::optional<time_point> request_table::next_deadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->time;
}

request* request_table::next_due(time_point now) {
  if (deadlines_.empty() || deadlines_.begin()->time > now) return nullptr;
  return deadlines_.begin()->entry;
}

void request_table::remove_from_index(request& target) {
  switch (target.state) {
    case request_state::queued: queue_.erase({target.finish_tag, target.id, &target}); break;
    case request_state::running: running_.erase({target.running_since, target.id, &target}); break;
    case request_state::awaiting_call: awaiting_call_.erase({target.finish_tag, target.id, &target}); break;
    case request_state::in_call: --in_call_count_; break;
    case request_state::sharing_result:
    case request_state::ending: break;
  }
}

void request_table::add_to_index(request& target) {
  switch (target.state) {
    case request_state::queued: queue_.insert({target.finish_tag, target.id, &target}); break;
    case request_state::running: running_.insert({target.running_since, target.id, &target}); break;
    case request_state::awaiting_call: awaiting_call_.insert({target.finish_tag, target.id, &target}); break;
    case request_state::in_call: ++in_call_count_; break;
    case request_state::sharing_result:
    case request_state::ending: break;
  }
}

}  // namespace admission_policy
