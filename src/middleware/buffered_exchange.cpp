#include "middleware/buffered_exchange.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string_view>

namespace marblewharf::middleware {
namespace {

constexpr std::size_t read_chunk_bytes = 4096;
constexpr std::string_view end_of_head = "\r\n\r\n";

}  // namespace

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

std::optional<std::string> read_body(HTTPServerRequest& request, std::size_t max_bytes) {
  if (request.getExpectContinue()) request.response().sendContinue();
  std::string body;
  char chunk[read_chunk_bytes];
  std::istream& in = request.stream();
  while (in.read(chunk, sizeof chunk) || in.gcount() > 0) {
    body.append(chunk, static_cast<std::size_t>(in.gcount()));
    if (body.size() > max_bytes) return std::nullopt;
  }
  return body;
}

buffered_request::buffered_request(HTTPServerRequest& original, std::string body,
                                   HTTPServerResponse& response)
    : original_(original), response_(response), body_(std::move(body)) {
  setMethod(original.getMethod());
  setURI(original.getURI());
  setVersion(original.getVersion());
  for (const auto& [name, value] : original) add(name, value);
}

std::ostream& captured_response::send() {
  sent_ = true;
  return body_;
}

void captured_response::sendFile(const std::string& path, const std::string& media_type) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Poco::OpenFileException(path);
  setContentType(media_type);
  send() << file.rdbuf();
}

void captured_response::sendBuffer(const void* buffer, std::size_t length) {
  send().write(static_cast<const char*>(buffer), static_cast<std::streamsize>(length));
}

void captured_response::redirect(const std::string& uri, HTTPStatus status) {
  setStatusAndReason(status);
  set("Location", uri);
  send();
}

void captured_response::requireAuthentication(const std::string& realm) {
  setStatusAndReason(HTTP_UNAUTHORIZED);
  set("WWW-Authenticate", "Basic realm=\"" + realm + "\"");
}

std::string captured_response::serialize() {
  const std::string body = body_.str();
  setChunkedTransferEncoding(false);
  setContentLength(static_cast<std::streamsize>(body.size()));
  std::ostringstream out;
  write(out);
  return out.str() + body;
}

void replay(const std::string& stored_bytes, HTTPServerResponse& response) {
  std::istringstream in(stored_bytes);
  Poco::Net::HTTPResponse stored;
  stored.read(in);
  const std::size_t head_size = stored_bytes.find(end_of_head);
  if (head_size == std::string::npos) throw Poco::DataFormatException("stored response has no complete head");
  response.setStatus(stored.getStatus());
  response.setReason(stored.getReason());
  std::set<std::string> replaced;
  for (const auto& [name, value] : stored) {  // a header may occur several times
    if (replaced.insert(name).second) response.erase(name);
    response.add(name, value);
  }
  const std::string body = stored_bytes.substr(head_size + end_of_head.size());
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body;
}

}  // namespace marblewharf::middleware
