#include "config_holder.h"

namespace siskinrack::node {

config_holder::config_holder() : current_(distribution::EmptySnapshot()) {}

bool config_holder::Activate(const config_snapshot_ptr& next) {
  config_snapshot_ptr current = current_.load();
  while (next->config.version > current->config.version) {
    if (current_.compare_exchange_weak(current, next)) return true;
  }
  return false;
}

}  // namespace siskinrack::node
