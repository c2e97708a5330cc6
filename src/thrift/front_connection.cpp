#include "thrift/front_connection.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "telemetry/exception_text.hpp"

namespace marblewharf::thrift {

using telemetry::log;

namespace {

// The rank of a connection depends on whether no message, one, or more were received on it.
constexpr unsigned max_messages_counted = 2;

// The fields of an error reply, under their names on the wire.
field_map fields_of(const answer& final_answer) {
  field_map fields;
  if (final_answer.retry_after.count() > 0) {
    const auto retry_after = std::chrono::ceil<std::chrono::milliseconds>(final_answer.retry_after);
    fields.emplace("later", std::to_string(retry_after.count()));
  }
  if (final_answer.no_retry_elsewhere) fields.emplace("giveup", "1");
  if (final_answer.key_conflict) fields.emplace("key", "conflict");
  if (final_answer.outcome_unknown) fields.emplace("outcome", "unknown");
  return fields;
}

std::string encode(std::int32_t seqid, const answer& final_answer) {
  switch (final_answer.status) {
    case response_status::served: return encode_served(seqid, final_answer.result);
    case response_status::rejected: return encode_overloaded(seqid, fields_of(final_answer));
    case response_status::failed: break;
  }
  return encode_internal(seqid, fields_of(final_answer));
}

}  // namespace

void server::connection::send(const std::string& frame) {
  last_used_ = net::steady_now();
  stream_.send(frame);
}

void server::connection::send_answer(std::int32_t seqid, const answer& final_answer) {
  try {
    send(encode(seqid, final_answer));
  } catch (...) {
    server_.reactor_.report_internal_error(telemetry::describe_current_exception());
    send_internal_error(seqid);
  }
}

void server::connection::send_internal_error(std::int32_t seqid) {
  try {
    send(encode_internal(seqid, {}));
  } catch (...) {
    server_.reactor_.report_internal_error(telemetry::describe_current_exception());
    stream_.fail(net::loss::internal_error);
  }
}

void server::connection::ask_to_close() {
  if (asked_to_close_) return;
  asked_to_close_ = true;
  asked_to_close_at_ = net::steady_now();
  stream_.send(encode_closing());
}

std::size_t server::connection::on_bytes(std::string_view bytes) {
  arriving_ = false;
  if (reading_stopped_) return bytes.size();  // discard, but keep reading to notice the end of the connection
  try {
    const std::optional<frame> received = next_frame(bytes, server_.config_.bounds);
    if (!received) {
      // Further bytes do not extend the time limit, so a frame sent byte by byte cannot stay open forever.
      if (!has_incomplete_message()) incomplete_since_ = net::steady_now();
      return 0;
    }
    last_used_ = net::steady_now();
    incomplete_since_ = {};
    messages_ = std::min(messages_ + 1, max_messages_counted);
    handle_payload(received->payload);
    return received->size;
  } catch (const bad_frame& error) {
    reject_frame(error.what());
  } catch (...) {
    server_.reactor_.report_internal_error(telemetry::describe_current_exception());
    stop_reading();
  }
  return bytes.size();
}

void server::connection::reject_frame(const char* reason) {
  ++server_.counters_.invalid_frames;
  log("bad-frame", "reading from the connection stopped with %zu requests open: %s", open_requests_.size(),
      reason);
  stop_reading();
}

void server::connection::stop_reading() {
  reading_stopped_ = true;
  incomplete_since_ = {};
  ask_to_close();
  if (open_requests_.empty()) end();
}

void server::connection::add_strike() {
  ++strikes_;
  if (strikes_ >= server_.config_.bounds.max_invalid_messages && !reading_stopped_)
    reject_frame("too many bad messages");
}

void server::connection::end() {
  if (std::exchange(ended_, true)) return;
  ask_to_close();
  last_used_ = net::steady_now();
  stream_.shutdown_output();
}

// Order of closing: connections that were asked to close, then those on which no message, one message,
// and more than one were received. The offsets separate the four groups; within a group the least recently
// used comes first.
std::optional<time_point> server::connection::eviction_rank() const {
  if (!open_requests_.empty() || has_incomplete_message() || (arriving_ && !reading_stopped_))
    return std::nullopt;
  if (asked_to_close_) return time_point::min() + asked_to_close_at_;
  if (messages_ == 0) return time_point::min() / 2 + last_used_;
  if (messages_ == 1) return time_point::min() / 4 + last_used_;
  return last_used_;
}

void server::connection::reject(std::int32_t seqid, app_error error, const std::string& text) {
  ++server_.counters_.invalid_frames;
  log("bad-request", "message %d rejected: %s", seqid, text.c_str());
  send(encode_exception(seqid, "execute", error, text));
  add_strike();
}

void server::connection::handle_payload(std::string_view payload) {
  message received;
  try {
    received = decode(payload, server_.config_.bounds);
  } catch (const bad_frame&) {
    throw;
  } catch (...) {
    server_.reactor_.report_internal_error(telemetry::describe_current_exception());
    answer_undecoded(payload);
    return;
  }
  handle(received);
}

// Answers a message that could not be decoded, because this process failed.
void server::connection::answer_undecoded(std::string_view payload) {
  const std::optional<message_header> header = find_header(payload);
  if (!header || !header->answerable) return;
  if (header->method == "execute") {
    send_internal_error(header->seqid);
  } else {
    send(encode_exception(header->seqid, header->method, app_error::internal, "internal error"));
  }
}

void server::connection::handle(const message& received) {
  if (const auto* request = std::get_if<execute>(&received.content)) {
    handle(*request, received.seqid);
  } else if (const auto* cancellation = std::get_if<interrupt>(&received.content)) {
    handle(*cancellation);
  } else if (const auto* unknown = std::get_if<undecodable>(&received.content)) {
    handle(*unknown, received.seqid);
  } else {
    ++server_.counters_.health_checks;
    send(encode_health(received.seqid, server_.healthy()));
  }
}

void server::connection::handle(const execute& request, std::int32_t seqid) {
  if (open_requests_.contains(seqid)) {
    reject_frame("sequence number of an open request was reused");
  } else if (open_requests_.size() >= server_.config_.bounds.max_in_flight_per_connection) {
    reject(seqid, app_error::internal, "too many open requests");
  } else {
    server_.begin_or_fail_request(*this, request, seqid);
  }
}

void server::connection::handle(const interrupt& cancellation) {
  const auto found = open_requests_.find(cancellation.seqid);
  if (found == open_requests_.end()) return;  // answered already
  const request_id id = found->second;
  open_requests_.erase(found);
  server_.open_requests_.erase(id);
  server_.dispatcher_.on_client_cancelled(id);
}

void server::connection::handle(const undecodable& unknown, std::int32_t seqid) {
  if (unknown.answerable) {
    reject(seqid, unknown.error, unknown.text);
    return;
  }
  ++server_.counters_.invalid_frames;
  log("bad-request", "oneway message ignored: %s", unknown.text.c_str());
  add_strike();
}

}  // namespace marblewharf::thrift
