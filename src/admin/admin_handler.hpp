// What the operators' console asks of the node.
#pragma once

#include <optional>
#include <string>

namespace marblewharf::admin {

// Answers console commands. Called on the reactor's thread.
class admin_handler {
 public:
  virtual ~admin_handler() = default;
  // Whether the runtime has answered and connections are accepted. Not what health checks are told: the
  // operators' drain does not change it.
  virtual bool ready() = 0;
  // Lines of `name=value`, each ending in "\n".
  virtual std::string statistics() = 0;
  // Takes the node off the balancers' lists, or has it back on them; both return the text after "200 ".
  virtual std::string drain() = 0;
  virtual std::string resume() = 0;
  // Lines on the cluster, each ending in "\n"; none where the node is in no cluster.
  virtual std::optional<std::string> members() = 0;
  virtual std::optional<std::string> zones() = 0;
  // Lines on quotas, each ending in "\n"; none where no quota is configured.
  virtual std::optional<std::string> budgets() = 0;
};

}  // namespace marblewharf::admin
