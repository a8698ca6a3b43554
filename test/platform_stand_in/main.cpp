// Simulates the platform's object API for tests. PUT /control/faults injects faults, given as a
// JSON object; absent members are reset to their defaults:
//   {"down":true}            responds to every request with 503
//   {"frozen":true}          accepts requests and doesn't respond until the fault is removed
//   {"delay_ms":500}         delays each response
//   {"retry_after_s":2}      responds with 429 and Retry-After
//   {"lose_write_answers":1} executes that many writes without sending a response
//   {"only":"write"}         applies the faults only to requests of one kind: read, write or watch
// GET /control/calls returns the number of requests by kind; a pending watch counts as one.

#include <atomic>
#include <boost/json.hpp>
#include <iostream>
#include <mutex>

#include "object_table.h"
#include "server_main.h"

namespace siskinrack::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// The real platform is specified to respond within milliseconds.
constexpr milliseconds kResponseTime{2};
constexpr milliseconds kWatchPollInterval{5};
constexpr milliseconds kFrozenPollInterval{20};
constexpr milliseconds kMaxWatchTime{60'000};
constexpr std::size_t kMaxValueBytes = 1U << 20U;

struct fault_settings {
  bool down = false;
  bool frozen = false;
  std::int64_t delay_ms = 0;
  std::int64_t retry_after_s = 0;
  std::int64_t lose_write_answers = 0;
  /// Kind of requests that the faults apply to; empty for all.
  std::string affected_kind;
};

class platform_stand_in {
 public:
  net::http_response Handle(const net::http_request& request, net::cancellation& cancel) {
    if (request.target.starts_with("/control/")) return HandleControl(request);
    const std::string kind = ClassifyRequest(request);
    CountCall(kind);
    if (auto fault = ApplyFaults(kind, cancel)) return std::move(*fault);
    net::SleepFor(kResponseTime);
    if (request.target.starts_with("/watch")) return HandleWatch(request, cancel);
    if (request.target.starts_with("/objects?")) return HandleList(request);
    if (request.target.starts_with("/objects/")) {
      net::http_response response = HandleObject(request);
      if (kind == "write" && ConsumeResponseLoss()) WaitUntilCancelled(cancel);
      return response;
    }
    return {404, {}, "no such resource\n"};
  }

 private:
  /// Returns "watch", "read" or "write".
  static std::string ClassifyRequest(const net::http_request& request) {
    if (request.target.starts_with("/watch")) return "watch";
    return request.method == "GET" ? "read" : "write";
  }

  void CountCall(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    ++calls_[kind];
  }

  /// Returns the faults that apply to requests of `kind`.
  fault_settings ActiveFaults(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    if (!faults_.affected_kind.empty() && faults_.affected_kind != kind) return {};
    return faults_;
  }

  /// Applies the current faults. Returns the response if a fault replaces it.
  std::optional<net::http_response> ApplyFaults(const std::string& kind,
                                                net::cancellation& cancel) {
    const fault_settings faults = ActiveFaults(kind);
    if (faults.frozen) {
      while (!cancel.cancelled() && ActiveFaults(kind).frozen) net::SleepFor(kFrozenPollInterval);
    }
    if (faults.down) return net::http_response{503, {}, "down\n"};
    if (faults.retry_after_s > 0) {
      return net::http_response{429, {{"Retry-After", std::to_string(faults.retry_after_s)}}, {}};
    }
    if (faults.delay_ms > 0) net::SleepFor(milliseconds(faults.delay_ms));
    return std::nullopt;
  }

  /// Returns true if the response to the current write is to be lost, and decrements the number of
  /// responses left to lose.
  bool ConsumeResponseLoss() {
    const std::lock_guard lock(mutex_);
    if (faults_.lose_write_answers <= 0) return false;
    --faults_.lose_write_answers;
    return true;
  }

  static void WaitUntilCancelled(net::cancellation& cancel) {
    while (!cancel.cancelled()) net::SleepFor(kFrozenPollInterval);
  }

  net::http_response HandleControl(const net::http_request& request) {
    const std::lock_guard lock(mutex_);
    if (request.target == "/control/calls") {
      return {200, {}, json::serialize(json::value_from(calls_)) + '\n'};
    }
    if (request.target != "/control/faults" || request.method != "PUT") return {404, {}, {}};
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object()) return {400, {}, "not a JSON object\n"};
    const json::object& members = body.get_object();
    const auto flag = [&](std::string_view name) {
      const json::value* value = members.if_contains(name);
      return value != nullptr && value->is_bool() && value->get_bool();
    };
    const auto number = [&](std::string_view name) {
      const json::value* value = members.if_contains(name);
      return value != nullptr && value->is_int64() ? value->get_int64() : 0;
    };
    faults_ = {flag("down"),
               flag("frozen"),
               number("delay_ms"),
               number("retry_after_s"),
               number("lose_write_answers"),
               {}};
    if (const json::value* only = members.if_contains("only"); only != nullptr) {
      faults_.affected_kind = json::value_to<std::string>(*only);
    }
    return {200, {}, "ok\n"};
  }

  /// Returns the value of the query parameter `key`, or an empty string if it is missing.
  static std::string QueryValue(const std::string& target, const std::string& key) {
    const std::string marker = key + '=';
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
      ++begin;
      if (target.compare(begin, marker.size(), marker) == 0) {
        begin += marker.size();
        return target.substr(begin, target.find('&', begin) - begin);
      }
      begin = target.find('&', begin);
    }
    return {};
  }

  static std::uint64_t ParseNumber(const std::string& text) {
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
  }

  /// Returns the version in If-Match, or 0 if the field is missing, which object_table::Put takes
  /// as "must not exist".
  static std::uint64_t ExpectedVersion(const net::http_request& request) {
    const std::string_view tag = net::FindField(request.fields, "If-Match");
    return tag.size() < 2 ? 0 : ParseNumber(std::string(tag.substr(1, tag.size() - 2)));
  }

  static json::object ToJson(std::uint64_t revision, const std::vector<table_object>& list) {
    json::array objects;
    for (const table_object& entry : list) {
      objects.push_back(
          json::object{{"name", entry.name}, {"version", entry.version}, {"value", entry.value}});
    }
    return {{"revision", revision}, {"objects", std::move(objects)}};
  }

  net::http_response HandleList(const net::http_request& request) {
    const std::uint64_t revision = objects_.revision();
    const auto list = objects_.List(QueryValue(request.target, "prefix"));
    return {200, {}, json::serialize(ToJson(revision, list))};
  }

  net::http_response HandleWatch(const net::http_request& request, net::cancellation& cancel) {
    const std::string prefix = QueryValue(request.target, "prefix");
    const std::uint64_t since = ParseNumber(QueryValue(request.target, "since"));
    const milliseconds wait(ParseNumber(QueryValue(request.target, "wait_ms")));
    const auto end = std::chrono::steady_clock::now() + std::min(wait, kMaxWatchTime);
    while (true) {
      const fault_settings faults = ActiveFaults("watch");
      if (faults.down) return {503, {}, "down\n"};
      const std::uint64_t revision = objects_.revision();
      const auto list = objects_.List(prefix, since);
      const bool ended = std::chrono::steady_clock::now() >= end || cancel.cancelled();
      if (!faults.frozen && (!list.empty() || ended)) {
        return {200, {}, json::serialize(ToJson(revision, list))};
      }
      if (cancel.cancelled()) return {503, {}, {}};
      net::SleepFor(kWatchPollInterval);
    }
  }

  net::http_response HandleObject(const net::http_request& request) {
    const std::string name = request.target.substr(std::string("/objects/").size());
    if (request.method == "GET") {
      const auto found = objects_.Get(name);
      if (!found) return {404, {}, {}};
      return {200, {{"ETag", '"' + std::to_string(found->version) + '"'}}, found->value};
    }
    if (request.method == "DELETE") {
      return {objects_.Delete(name, ExpectedVersion(request)) ? 204U : 412U, {}, {}};
    }
    if (request.method != "PUT") return {405, {}, {}};
    if (request.body.size() > kMaxValueBytes) return {413, {}, {}};
    const auto version = objects_.Put(name, request.body, ExpectedVersion(request));
    if (!version) return {412, {}, {}};
    if (name == "config/head") LogHeadVersion(request.body);
    return {200, {{"ETag", '"' + std::to_string(*version) + '"'}}, {}};
  }

  /// Logs the version of an accepted head. The scenario runner uses this event to check that no
  /// node serves a version that was never accepted.
  static void LogHeadVersion(const std::string& value) {
    json::error_code error;
    const json::value head = json::parse(value, error);
    const json::object* members = error ? nullptr : head.if_object();
    const json::value* version = members == nullptr ? nullptr : members->if_contains("version");
    if (version != nullptr) std::cout << "event=head_written version=" << *version << std::endl;
  }

  object_table objects_;
  std::mutex mutex_;
  fault_settings faults_;
  std::map<std::string, std::uint64_t> calls_;
};

std::vector<support::setting> DeclaredSettings() {
  return {{"address", support::setting_kind::kAddress, "listening address", "127.0.0.1:0"}};
}

int Main(std::span<const std::string> arguments) {
  const auto values = ParseOrExit(DeclaredSettings(), arguments);
  platform_stand_in platform;
  return ServeUntilSignal(values.address("address"),
                          [&](const net::http_request& request, net::cancellation& cancel) {
                            return platform.Handle(request, cancel);
                          });
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return siskinrack::test::Main(arguments);
}
