// What the vars of a packet say, by the operator's mapping, as a request of the core.
#pragma once

#include "config/config.hpp"
#include "core/request.hpp"
#include "core/vocabulary.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::uwsgi {

// `keys`: where the results of keyed requests are kept; null: they are not. Throws bad_packet.
request to_request(const packet& p, const uwsgi_config& mapping, vocabulary& names,
                   const keyed_config* keys = nullptr);

}  // namespace marblewharf::uwsgi
