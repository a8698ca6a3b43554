#include "session.h"

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

constexpr milliseconds kCallTimeout{2'000};
constexpr milliseconds kAdminTimeout{2'000};
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kMaxPause{1'000};
constexpr unsigned kMaxDoublings = 4;
constexpr unsigned kStatusOk = 200;
/// Admin requests in progress at the same time; bounds the sockets of a command over a large fleet.
constexpr std::size_t kParallelFetches = 64;
constexpr milliseconds kFetchPoll{1};

bool IsTransient(const store_error& error) {
  return error.code == store_errc::kUnavailable || error.code == store_errc::kRateLimited;
}

std::string TextMember(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return {};
  return {value->get_string().data(), value->get_string().size()};
}

void AddMembers(const std::string& page, std::map<support::socket_address, known_node>& nodes) {
  json::error_code error;
  const json::value list = json::parse(page, error);
  if (error || !list.is_array()) return;
  for (const json::value& item : list.get_array()) {
    const json::object* member = item.if_object();
    if (member == nullptr || TextMember(*member, "health") == "dead") continue;
    const auto address = support::ParseSocketAddress(TextMember(*member, "admin_address"));
    if (!address) continue;
    nodes[*address] = {*address, TextMember(*member, "node_id"),
                       TextMember(*member, "failure_domain")};
  }
}

}  // namespace

leaf::error_id PlatformError(std::string_view purpose, const store_error& error) {
  return leaf::new_error(command_error{support::kExitFindings,
                                       "platform: " + std::string(purpose) + ": " +
                                           std::string(platform::Name(error.code)) + " (" +
                                           error.message + ')',
                                       {},
                                       {}});
}

session::session(options settings)
    : options_(std::move(settings)),
      end_(std::chrono::steady_clock::now() + options_.timeout),
      store_(runtime_, {.address = options_.platform,
                        .call_timeout = std::min(kCallTimeout, options_.timeout)}),
      client_(runtime_) {}

bool session::PauseAfter(const store_error& error) {
  const milliseconds pause =
      std::max(error.retry_after,
               std::min(kMaxPause, kFirstPause * (1U << std::min(pauses_, kMaxDoublings))));
  ++pauses_;
  if (std::chrono::steady_clock::now() + pause >= end_) return false;
  std::this_thread::sleep_for(pause);
  return true;
}

template <typename Value, typename Call>
leaf::result<std::optional<Value>> session::Repeat(std::string_view purpose, Call call) {
  std::optional<store_error> reported;
  while (true) {
    platform::store_result<Value> result = store_error{};
    runtime_.Run(0, [&] { result = call(); });
    if (auto* value = std::get_if<Value>(&result)) return std::optional<Value>(std::move(*value));
    auto& error = std::get<store_error>(result);
    if (error.code == store_errc::kNotFound) return std::optional<Value>();
    const bool transient = IsTransient(error);
    const bool again = transient && PauseAfter(error);
    // A call that the own budget held back says less than the answer that exhausted it.
    if (!reported || error.message != platform::kCallBudgetExhausted) reported = error;
    if (!again) return PlatformError(purpose, *reported);
  }
}

leaf::result<std::optional<platform::stored_object>> session::Find(const std::string& name,
                                                                   std::string_view purpose) {
  return Repeat<platform::stored_object>(purpose, [&] { return store_.Get(name); });
}

leaf::result<std::vector<platform::stored_object>> session::List(const std::string& prefix,
                                                                 std::string_view purpose) {
  BOOST_LEAF_AUTO(found, Repeat<std::vector<platform::stored_object>>(
                             purpose, [&] { return store_.List(prefix); }));
  return found ? std::move(*found) : std::vector<platform::stored_object>();
}

platform::store_result<std::uint64_t> session::Put(const std::string& name,
                                                   const std::string& value,
                                                   std::uint64_t expected_version) {
  platform::store_result<std::uint64_t> result = store_error{};
  runtime_.Run(0, [&] { result = store_.Put(name, value, expected_version); });
  return result;
}

net::http_result session::Send(const support::socket_address& node, net::http_request request) {
  net::http_result result;
  runtime_.Run(0, [&] {
    result =
        client_.Send(node, std::move(request), std::chrono::steady_clock::now() + kAdminTimeout);
  });
  return result;
}

std::vector<node_page> session::FetchAll(const std::vector<known_node>& nodes,
                                         const std::string& target) {
  std::vector<node_page> pages;
  pages.reserve(nodes.size());
  for (const known_node& node : nodes) pages.push_back({node, std::nullopt});
  runtime_.Run(0, [&] {
    std::size_t running = 0;
    for (node_page& page : pages) {
      while (running >= kParallelFetches) net::SleepFor(kFetchPoll);
      ++running;
      net::Spawn([&] {
        auto result = client_.Send(page.node.admin, {"GET", target, {}, {}},
                                   std::chrono::steady_clock::now() + kAdminTimeout);
        if (result.stage == net::exchange_stage::kAnswered && result.response.status == kStatusOk) {
          page.body = std::move(result.response.body);
        }
        --running;
      });
    }
    while (running > 0) net::SleepFor(kFetchPoll);
  });
  return pages;
}

std::vector<known_node> session::DiscoverNodes() {
  std::vector<known_node> configured;
  std::map<support::socket_address, known_node> nodes;
  for (const auto& address : options_.nodes) {
    configured.push_back({address, {}, {}});
    nodes.emplace(address, configured.back());
  }
  for (const node_page& page : FetchAll(configured, "/upstreams")) {
    if (page.body) AddMembers(*page.body, nodes);
  }
  std::vector<known_node> list;
  list.reserve(nodes.size());
  for (auto& [address, node] : nodes) list.push_back(std::move(node));
  std::stable_sort(list.begin(), list.end(),
                   [](const auto& a, const auto& b) { return a.node_id < b.node_id; });
  return list;
}

}  // namespace siskinrack::control
