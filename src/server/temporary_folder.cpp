#include "server/temporary_folder.hpp"

#include <cstdlib>

namespace marblewharf::server {

std::string temporary_folder() {
  const char* folder = std::getenv("TMPDIR");
  return folder != nullptr && *folder != '\0' ? folder : "/tmp";
}

}  // namespace marblewharf::server
