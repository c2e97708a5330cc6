// The interface through which the operators' console queries and controls the node.
#pragma once

#include <optional>
#include <string>

namespace marblewharf::admin {

// Executes console commands. Called on the reactor's thread.
class admin_handler {
 public:
  virtual ~admin_handler() = default;
  // Whether the runtime has answered and the node accepts connections. Unlike the answer to health checks,
  // the readiness does not depend on the operator drain.
  virtual bool ready() = 0;
  // Lines of `name=value`, each ending in "\n".
  virtual std::string statistics() = 0;
  // Begin and end the operator drain, during which health checks fail. Both return the text that follows the
  // status "200 " in the answer.
  virtual std::string drain() = 0;
  virtual std::string resume() = 0;
  // Lines about the members and zones of the cluster, each ending in "\n"; none if the node is not part of a
  // cluster.
  virtual std::optional<std::string> members() = 0;
  virtual std::optional<std::string> zones() = 0;
  // Lines about quotas, each ending in "\n"; none if no quota is configured.
  virtual std::optional<std::string> quotas() = 0;
};

}  // namespace marblewharf::admin
