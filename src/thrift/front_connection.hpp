// A connection of a caller to the Thrift front: decodes its messages, and writes the answers. Internal to the
// front.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/reactor.hpp"
#include "net/stream.hpp"
#include "thrift/codec.hpp"
#include "thrift/front.hpp"

namespace marblewharf::thrift {

class server::connection : public net::stream::observer {
 public:
  connection(server& front, const Poco::Net::StreamSocket& socket)
      : server_(front), stream_(front.reactor_, front.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(net::loss) override { server_.drop(*this); }

  // Throws std::bad_alloc, and sends nothing, if the frame cannot be buffered.
  void send(const std::string& frame);
  // Sends the final answer to a request, or an internal error if the answer cannot be encoded or buffered.
  void send_answer(std::int32_t seqid, const answer& final_answer);
  // Answers a request with an internal error. The connection is lost if that fails.
  void send_internal_error(std::int32_t seqid);
  // Sends the caller a request to close the connection, at most once.
  void ask_to_close();
  // Counts a violation of the protocol by the caller and stops reading.
  void reject_frame(const char* reason);
  // Discards further input and asks the caller to close. Open requests are still answered.
  void stop_reading();
  // Counts a bad message; stops reading after `max_invalid_messages` of them on the connection.
  void add_strike();
  // Ends the connection in such a way that the caller receives everything sent before. No request may be
  // open.
  void end();
  bool ended() const { return ended_; }
  // Whether a request is open on this connection, or unread bytes may contain one.
  bool has_pending_answer() const {
    return !open_requests_.empty() || (!reading_stopped_ && stream_.has_unread_input());
  }
  bool has_incomplete_message() const { return incomplete_since_.count() > 0; }
  // Rank of the connection among those that may be closed to make room for a new one; the lowest is closed
  // first. Empty if a request is open or arriving.
  std::optional<time_point> eviction_rank() const;

 private:
  friend class server;
  friend class net::connections<connection>;  // accesses stream_ and arriving_

  server& server_;
  net::stream stream_;
  std::unordered_map<std::int32_t, request_id> open_requests_;  // by sequence number
  time_point last_used_ = net::steady_now();
  time_point incomplete_since_{};  // 0: no incomplete frame
  unsigned strikes_ = 0;
  unsigned messages_ = 0;  // complete messages received, counted up to max_messages_counted
  time_point asked_to_close_at_{};
  bool arriving_ = false;  // received bytes that have not been read yet
  bool asked_to_close_ = false;
  bool reading_stopped_ = false;
  bool ended_ = false;

  void handle_payload(std::string_view payload);
  void answer_undecoded(std::string_view payload);
  void handle(const message& received);
  void handle(const execute& request, std::int32_t seqid);
  void handle(const interrupt& cancellation);
  void handle(const undecodable& unknown, std::int32_t seqid);
  void reject(std::int32_t seqid, app_error error, const std::string& text);
};

}  // namespace marblewharf::thrift
