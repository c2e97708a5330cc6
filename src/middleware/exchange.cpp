#include "middleware/exchange.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <fstream>
#include <set>

namespace marblewharf::middleware {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

std::optional<std::string> read_body(HTTPServerRequest& request, std::size_t most) {
  if (request.getExpectContinue()) request.response().sendContinue();
  std::string body;
  char chunk[4096];
  std::istream& in = request.stream();
  while (in.read(chunk, sizeof chunk) || in.gcount() > 0) {
    body.append(chunk, static_cast<std::size_t>(in.gcount()));
    if (body.size() > most) return std::nullopt;
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

void captured_response::sendFile(const std::string& path, const std::string& mediaType) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Poco::OpenFileException(path);
  setContentType(mediaType);
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

std::string captured_response::whole() {
  const std::string body = body_.str();
  setChunkedTransferEncoding(false);
  setContentLength(static_cast<std::streamsize>(body.size()));
  std::ostringstream out;
  write(out);
  return out.str() + body;
}

void replay(const std::string& whole, HTTPServerResponse& to) {
  std::istringstream in(whole);
  Poco::Net::HTTPResponse kept;
  kept.read(in);
  const std::size_t head = whole.find("\r\n\r\n");
  if (head == std::string::npos) throw Poco::DataFormatException("a kept response without a head");
  to.setStatus(kept.getStatus());
  to.setReason(kept.getReason());
  std::set<std::string> seen;
  for (const auto& [name, value] : kept) {  // one name may come several times
    if (seen.insert(name).second) to.erase(name);
    to.add(name, value);
  }
  const std::string body = whole.substr(head + 4);
  to.setContentLength(static_cast<std::streamsize>(body.size()));
  to.send() << body;
}

}  // namespace marblewharf::middleware
