// A keyed HTTP request and its response in memory: the body is read before the handler runs, so that the
// request has a fingerprint, and the response is stored before any byte of it is sent. Each object belongs to
// the server's thread that handles its request.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <sstream>
#include <string>

namespace marblewharf::middleware {

// The whole body; none where it has more than `max_bytes`.
std::optional<std::string> read_body(Poco::Net::HTTPServerRequest& request, std::size_t max_bytes);

// A request whose body is in memory. `original` and `response` outlive it.
class buffered_request : public Poco::Net::HTTPServerRequest {
 public:
  buffered_request(Poco::Net::HTTPServerRequest& original, std::string body,
                   Poco::Net::HTTPServerResponse& response);

  std::istream& stream() override { return body_; }
  const Poco::Net::SocketAddress& clientAddress() const override { return original_.clientAddress(); }
  const Poco::Net::SocketAddress& serverAddress() const override { return original_.serverAddress(); }
  const Poco::Net::HTTPServerParams& serverParams() const override { return original_.serverParams(); }
  Poco::Net::HTTPServerResponse& response() const override { return response_; }
  bool secure() const override { return original_.secure(); }

 private:
  Poco::Net::HTTPServerRequest& original_;
  Poco::Net::HTTPServerResponse& response_;
  std::istringstream body_;
};

// A response that a handler writes into memory. Nothing is sent.
class captured_response : public Poco::Net::HTTPServerResponse {
 public:
  void sendContinue() override {}  // the body was read before the handler began
  std::ostream& send() override;
  void sendFile(const std::string& path, const std::string& media_type) override;
  void sendBuffer(const void* buffer, std::size_t length) override;
  void redirect(const std::string& uri, HTTPStatus status = HTTP_FOUND) override;
  void requireAuthentication(const std::string& realm) override;
  bool sent() const override { return sent_; }

  // Head and body, in the form in which they are stored.
  std::string whole();

 private:
  std::ostringstream body_;
  bool sent_ = false;
};

// Sends a stored response. Headers that the connection set stay unless the stored response has them, too.
// Throws Poco::Exception where `whole` is no stored response.
void replay(const std::string& whole, Poco::Net::HTTPServerResponse& to);

}  // namespace marblewharf::middleware
