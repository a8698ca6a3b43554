#include "control_client.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <thread>

#include "command.h"

namespace siskinrack::control {
namespace {

using platform::store_errc;
using platform::store_error;
using std::chrono::milliseconds;

constexpr milliseconds kPlatformCallTimeout{2'000};
constexpr milliseconds kAdminRequestTimeout{2'000};
constexpr milliseconds kInitialBackoff{100};
constexpr milliseconds kMaxBackoff{1'000};
constexpr unsigned kMaxBackoffDoublings = 4;
constexpr unsigned kHttpOk = 200;
/// Bounds the sockets that a command opens in a large fleet.
constexpr std::size_t kMaxConcurrentFetches = 64;
constexpr milliseconds kFetchPollInterval{1};

bool IsTransient(const store_error& error) {
  return error.code == store_errc::kUnavailable || error.code == store_errc::kRateLimited;
}

std::string GetString(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return {};
  return {value->get_string().data(), value->get_string().size()};
}

/// Adds the members listed on the page /upstreams to `nodes`, except for dead ones and those
/// without a valid admin address.
void AddListedNodes(const std::string& page, std::map<support::socket_address, node_info>& nodes) {
  json::error_code error;
  const json::value list = json::parse(page, error);
  if (error || !list.is_array()) return;
  for (const json::value& element : list.get_array()) {
    const json::object* member = element.if_object();
    if (member == nullptr || GetString(*member, "health") == "dead") continue;
    const auto address = support::ParseSocketAddress(GetString(*member, "admin_address"));
    if (!address) continue;
    nodes[*address] = {*address, GetString(*member, "node_id"),
                       GetString(*member, "failure_domain")};
  }
}

}  // namespace

leaf::error_id MakePlatformError(std::string_view operation, const store_error& error) {
  return leaf::new_error(command_error{support::kExitFindings,
                                       "platform: " + std::string(operation) + ": " +
                                           std::string(platform::ToText(error.code)) + " (" +
                                           error.message + ')',
                                       {},
                                       {}});
}

control_client::control_client(options settings)
    : options_(std::move(settings)),
      deadline_(std::chrono::steady_clock::now() + options_.timeout),
      store_(runtime_, {.address = options_.platform,
                        .call_timeout = std::min(kPlatformCallTimeout, options_.timeout)}),
      http_client_(runtime_) {}

bool control_client::WaitBeforeRetry(const store_error& error) {
  const milliseconds backoff = std::max(
      error.retry_after,
      std::min(kMaxBackoff, kInitialBackoff * (1U << std::min(retries_, kMaxBackoffDoublings))));
  ++retries_;
  if (std::chrono::steady_clock::now() + backoff >= deadline_) return false;
  std::this_thread::sleep_for(backoff);
  return true;
}

template <typename Value, typename Call>
leaf::result<std::optional<Value>> control_client::CallWithRetry(std::string_view operation,
                                                                 Call call) {
  std::optional<store_error> reported;
  while (true) {
    platform::store_result<Value> result = store_error{};
    runtime_.Run(0, [&] { result = call(); });
    if (auto* value = std::get_if<Value>(&result)) return std::optional<Value>(std::move(*value));
    auto& error = std::get<store_error>(result);
    if (error.code == store_errc::kNotFound) return std::optional<Value>();
    const bool transient = IsTransient(error);
    const bool should_retry = transient && WaitBeforeRetry(error);
    // During the backoff after a failed call, the local call budget may reject the retry. The error
    // of the failed call is kept, because it names the cause.
    if (!reported || error.message != platform::kCallBudgetExhausted) reported = error;
    if (!should_retry) return MakePlatformError(operation, *reported);
  }
}

leaf::result<std::optional<platform::stored_object>> control_client::FindObject(
    const std::string& name, std::string_view operation) {
  return CallWithRetry<platform::stored_object>(operation, [&] { return store_.Get(name); });
}

leaf::result<std::vector<platform::stored_object>> control_client::ListObjects(
    const std::string& prefix, std::string_view operation) {
  BOOST_LEAF_AUTO(found, CallWithRetry<std::vector<platform::stored_object>>(
                             operation, [&] { return store_.List(prefix); }));
  return found ? std::move(*found) : std::vector<platform::stored_object>();
}

platform::store_result<std::uint64_t> control_client::PutObject(const std::string& name,
                                                                const std::string& value,
                                                                std::uint64_t expected_version) {
  platform::store_result<std::uint64_t> result = store_error{};
  runtime_.Run(0, [&] { result = store_.Put(name, value, expected_version); });
  return result;
}

net::http_result control_client::SendToNode(const support::socket_address& node,
                                            net::http_request request) {
  net::http_result result;
  runtime_.Run(0, [&] {
    result = http_client_.Send(node, std::move(request),
                               std::chrono::steady_clock::now() + kAdminRequestTimeout);
  });
  return result;
}

std::vector<node_page> control_client::FetchPages(const std::vector<node_info>& nodes,
                                                  const std::string& target) {
  std::vector<node_page> pages;
  pages.reserve(nodes.size());
  for (const node_info& node : nodes) pages.push_back({node, std::nullopt});
  runtime_.Run(0, [&] {
    std::size_t running = 0;
    for (node_page& page : pages) {
      while (running >= kMaxConcurrentFetches) net::SleepFor(kFetchPollInterval);
      ++running;
      net::Spawn([&] {
        auto result = http_client_.Send(page.node.admin_address, {"GET", target, {}, {}},
                                        std::chrono::steady_clock::now() + kAdminRequestTimeout);
        if (result.stage == net::exchange_stage::kAnswered && result.response.status == kHttpOk) {
          page.body = std::move(result.response.body);
        }
        --running;
      });
    }
    while (running > 0) net::SleepFor(kFetchPollInterval);
  });
  return pages;
}

std::vector<node_info> control_client::DiscoverNodes() {
  std::vector<node_info> configured;
  std::map<support::socket_address, node_info> nodes;
  for (const auto& address : options_.nodes) {
    configured.push_back({address, {}, {}});
    nodes.emplace(address, configured.back());
  }
  for (const node_page& page : FetchPages(configured, "/upstreams")) {
    if (page.body) AddListedNodes(*page.body, nodes);
  }
  std::vector<node_info> list;
  list.reserve(nodes.size());
  for (auto& [address, node] : nodes) list.push_back(std::move(node));
  std::stable_sort(list.begin(), list.end(),
                   [](const auto& a, const auto& b) { return a.node_id < b.node_id; });
  return list;
}

}  // namespace siskinrack::control
