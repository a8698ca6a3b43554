#ifndef SISKINRACK_SUPPORT_SCOPE_EXIT_H_
#define SISKINRACK_SUPPORT_SCOPE_EXIT_H_

#include <utility>

namespace siskinrack::support {

/// Runs an action at the end of a scope, also if the scope is left by an exception. The action must
/// not throw.
template <typename Action>
class scope_exit {
 public:
  explicit scope_exit(Action action) : action_(std::move(action)) {}
  ~scope_exit() { action_(); }
  scope_exit(const scope_exit&) = delete;
  scope_exit& operator=(const scope_exit&) = delete;

 private:
  Action action_;
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_SCOPE_EXIT_H_
