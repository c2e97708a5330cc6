// Encoding and decoding of quota messages (ctest -L quota). Datagrams arrive from an untrusted network: a
// damaged datagram, or one of another protocol, cluster or version, must be rejected with the right fault.
#include "quota/wire.hpp"

#include <cmath>
#include <cstdio>
#include <limits>

#include "../check.hpp"
#include "membership/wire.hpp"

using namespace marblewharf::quota;

namespace {

message sample() {
  return {message_kind::quota_request, "127.0.0.1:7946",           17,  42, 1'764'576'000'123,
          0xfeedfacecafebeef,          {{12.5, 40, 7}, {0, 3, 0}}, true};
}

}  // namespace

int main() {
  const std::string datagram = encode("kurse", sample());
  const decoded result = decode("kurse", datagram);
  CHECK(result.fault == wire_fault::none && result.content && *result.content == sample());
  CHECK(decode("renten", datagram).fault == wire_fault::other_cluster);
  std::string later_version = datagram;
  // The version follows the fixarray header and the fixstr "kurse" (6 bytes).
  later_version[7] = static_cast<char>(wire_version + 1);
  CHECK(decode("kurse", later_version).fault == wire_fault::version);
  CHECK(decode("kurse", "GET / HTTP/1.0\r\n\r\n").fault == wire_fault::other_kind);
  namespace membership = marblewharf::membership;
  const std::string ping =
      membership::encode("kurse", {membership::message_kind::ping,
                                   {"127.0.0.1:1", "z", "r", 1, membership::member_status::alive},
                                   1,
                                   "",
                                   {},
                                   {}});
  CHECK(decode("kurse", ping).fault == wire_fault::other_kind);
  CHECK(membership::decode("kurse", datagram).fault != membership::wire_fault::none);
  // A datagram truncated at any byte is rejected. A datagram with any flipped bit yields either a message or
  // a fault, and never a share that is not finite or negative.
  for (std::size_t length = 0; length < datagram.size(); ++length)
    CHECK(!decode("kurse", datagram.substr(0, length)).content);
  for (std::size_t offset = 0; offset < datagram.size(); ++offset) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string damaged = datagram;
      damaged[offset] = static_cast<char>(damaged[offset] ^ (1 << bit));
      const decoded damaged_result = decode("kurse", damaged);
      CHECK((damaged_result.fault == wire_fault::none) == damaged_result.content.has_value());
      if (!damaged_result.content) continue;
      for (const quota_entry& entry : damaged_result.content->entries)
        CHECK(std::isfinite(entry.held) && entry.held >= 0 && std::isfinite(entry.demand) &&
              entry.demand >= 0);
    }
  }
  for (const double bad :
       {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    message invalid = sample();
    invalid.entries[0].held = bad;
    CHECK(decode("kurse", encode("kurse", invalid)).fault == wire_fault::undecodable);
  }
  std::printf("wire passed\n");
  return 0;
}
