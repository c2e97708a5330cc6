// Buffers a keyed HTTP request and its response in memory: the body is read before the handler runs, so that
// a fingerprint of the request can be computed, and the response is stored before any of its bytes are sent.
// Each object is used only by the server's thread that handles its request.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <sstream>
#include <string>

namespace marblewharf::middleware {

// Reads the whole body. Returns no value if the body is larger than `max_bytes`.
std::optional<std::string> read_body(Poco::Net::HTTPServerRequest& request, std::size_t max_bytes);

// A request whose body is in memory. `original` and `response` must outlive the object.
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

// A response that is written into memory and not sent.
class captured_response : public Poco::Net::HTTPServerResponse {
 public:
  void sendContinue() override {}  // the body has already been read
  std::ostream& send() override;
  void sendFile(const std::string& path, const std::string& media_type) override;
  void sendBuffer(const void* buffer, std::size_t length) override;
  void redirect(const std::string& uri, HTTPStatus status = HTTP_FOUND) override;
  void requireAuthentication(const std::string& realm) override;
  bool sent() const override { return sent_; }

  // Returns head and body in the form in which they are stored.
  std::string serialize();

 private:
  std::ostringstream body_;
  bool sent_ = false;
};

// Sends a stored response. A header already set in `response` is kept unless the stored response has the same
// header. Throws Poco::Exception if `stored_bytes` is not a stored response.
void replay(const std::string& stored_bytes, Poco::Net::HTTPServerResponse& response);

}  // namespace marblewharf::middleware
