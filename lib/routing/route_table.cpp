#include "siskinrack/routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace siskinrack::routing {
namespace {

/// Returns the host in lower case and without its port.
std::string NormalizeHost(std::string_view host) {
  std::string result(host.substr(0, host.find(':')));
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return result;
}

}  // namespace

weighted_split::weighted_split(const std::vector<weighted_service>& targets, std::uint64_t random) {
  for (const weighted_service& target : targets) {
    weights_.push_back(target.weight);
    total_ += target.weight;
  }
  credits_.assign(weights_.size(), 0);
  if (total_ <= 0) return;
  for (std::uint64_t skip = random % static_cast<std::uint64_t>(total_); skip > 0; --skip) Next();
}

std::size_t weighted_split::Next() {
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights_.size(); ++i) {
    credits_[i] += weights_[i];
    if (credits_[i] > credits_[best]) best = i;
  }
  if (!credits_.empty()) credits_[best] -= total_;
  return best;
}

route_table::route_table(configuration config)
    : config_(std::move(config)), keys_(config_.tenants) {
  for (std::size_t i = 0; i < config_.routes.size(); ++i) {
    const route& entry = config_.routes[i];
    hosts_[NormalizeHost(entry.host)].emplace(entry.prefix, i);
  }
  for (std::size_t i = 0; i < config_.tenants.size(); ++i) {
    tenant_by_name_.emplace(config_.tenants[i].name, i);
  }
}

const route* route_table::Match(std::string_view host, std::string_view target) const {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    const auto match = found->second.find(path.substr(0, slash + 1));
    if (match != found->second.end()) return &config_.routes[match->second];
    path = path.substr(0, slash);
  }
}

const service* route_table::FindService(std::string_view name) const {
  const auto found =
      std::find_if(config_.services.begin(), config_.services.end(),
                   [name](const service& candidate) { return candidate.name == name; });
  return found == config_.services.end() ? nullptr : &*found;
}

const tenancy::tenant* route_table::FindTenant(std::string_view key) const {
  const auto index = keys_.Find(key);
  return index ? &config_.tenants[*index] : nullptr;
}

const tenancy::tenant* route_table::FindTenantByName(std::string_view name) const {
  const auto found = tenant_by_name_.find(name);
  return found == tenant_by_name_.end() ? nullptr : &config_.tenants[found->second];
}

}  // namespace siskinrack::routing
