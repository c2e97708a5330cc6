// Converts the vars of a packet to a core request, according to the mapping in the operator's settings.
#pragma once

#include "config/config.hpp"
#include "config/key_rules.hpp"
#include "core/request.hpp"
#include "core/request_name_index.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::uwsgi {

// Throws bad_packet.
request to_request(const packet& received, const uwsgi_config& mapping, request_name_index& names,
                   const key_rules& keys = {});

}  // namespace marblewharf::uwsgi
