// Quota messages as datagrams (ctest -L quota).
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
  const std::string whole = encode("kurse", sample());
  const decoded d = decode("kurse", whole);
  CHECK(d.fault == wire_fault::none && d.content && *d.content == sample());
  CHECK(decode("renten", whole).fault == wire_fault::other_cluster);
  std::string later = whole;
  later[7] = static_cast<char>(wire_version + 1);  // fixarray, fixstr "kurse" (6 bytes), then the version
  CHECK(decode("kurse", later).fault == wire_fault::version);
  CHECK(decode("kurse", "GET / HTTP/1.0\r\n\r\n").fault == wire_fault::other_kind);
  namespace mem = marblewharf::membership;
  const std::string ping = mem::encode(
      "kurse",
      {mem::message_kind::ping, {"127.0.0.1:1", "z", "r", 1, mem::member_status::alive}, 1, "", {}, {}});
  CHECK(decode("kurse", ping).fault == wire_fault::other_kind);
  CHECK(mem::decode("kurse", whole).fault != mem::wire_fault::none);
  // Every cut and every changed bit: a whole message or a fault, and no share that is no number or below
  // zero.
  for (std::size_t cut = 0; cut < whole.size(); ++cut) CHECK(!decode("kurse", whole.substr(0, cut)).content);
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = whole;
      changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
      const decoded c = decode("kurse", changed);
      CHECK((c.fault == wire_fault::none) == c.content.has_value());
      if (!c.content) continue;
      for (const quota_entry& e : c.content->entries)
        CHECK(std::isfinite(e.held) && e.held >= 0 && std::isfinite(e.demand) && e.demand >= 0);
    }
  }
  for (const double bad :
       {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    message m = sample();
    m.entries[0].held = bad;
    CHECK(decode("kurse", encode("kurse", m)).fault == wire_fault::undecodable);
  }
  std::printf("wire passed\n");
  return 0;
}
