// The folder that the processes of a node share while one replaces another.
#pragma once

#include <string>

namespace marblewharf::server {

// $TMPDIR; /tmp if it is not set.
std::string temporary_folder();

}  // namespace marblewharf::server
