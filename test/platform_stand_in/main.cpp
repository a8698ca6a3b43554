// Stand-in for the platform's object API. Faults are set through PUT /control/faults with a JSON
// object; absent members are reset:
//   {"down":true}            answers 503 to everything
//   {"frozen":true}          accepts requests and never answers
//   {"delay_ms":500}         answers late
//   {"retry_after_s":2}      answers 429 with Retry-After
//   {"lose_write_answers":1} that many writes take effect and get no answer
//   {"only":"write"}         limits the faults to reads, writes or watches
// GET /control/calls returns the calls counted so far, a waiting watch as one.

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

/// The brief says that the platform answers in milliseconds.
constexpr milliseconds kServiceTime{2};
constexpr milliseconds kWatchPoll{5};
constexpr milliseconds kFrozenPoll{20};
constexpr milliseconds kMaxWatch{60'000};
constexpr std::size_t kMaxValueBytes = 1U << 20U;

struct fault_settings {
  bool down = false;
  bool frozen = false;
  std::int64_t delay_ms = 0;
  std::int64_t retry_after_s = 0;
  std::int64_t lose_write_answers = 0;
  std::string only;
};

class platform_stand_in {
 public:
  net::http_response Handle(const net::http_request& request, net::cancellation& cancel) {
    if (request.target.starts_with("/control/")) return Control(request);
    const std::string kind = KindOf(request);
    Count(kind);
    if (auto fault = ApplyFaults(kind, cancel)) return std::move(*fault);
    net::SleepFor(kServiceTime);
    if (request.target.starts_with("/watch")) return Watch(request, cancel);
    if (request.target.starts_with("/objects?")) return List(request);
    if (request.target.starts_with("/objects/")) {
      net::http_response response = Object(request);
      if (kind == "write" && TakeLostAnswer()) WaitForEver(cancel);
      return response;
    }
    return {404, {}, "no such resource\n"};
  }

 private:
  static std::string KindOf(const net::http_request& request) {
    if (request.target.starts_with("/watch")) return "watch";
    return request.method == "GET" ? "read" : "write";
  }

  void Count(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    ++calls_[kind];
  }

  fault_settings FaultsFor(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    if (!faults_.only.empty() && faults_.only != kind) return {};
    return faults_;
  }

  std::optional<net::http_response> ApplyFaults(const std::string& kind,
                                                net::cancellation& cancel) {
    const fault_settings faults = FaultsFor(kind);
    if (faults.frozen) {
      while (!cancel.cancelled() && FaultsFor(kind).frozen) net::SleepFor(kFrozenPoll);
    }
    if (faults.down) return net::http_response{503, {}, "down\n"};
    if (faults.retry_after_s > 0) {
      return net::http_response{429, {{"Retry-After", std::to_string(faults.retry_after_s)}}, {}};
    }
    if (faults.delay_ms > 0) net::SleepFor(milliseconds(faults.delay_ms));
    return std::nullopt;
  }

  bool TakeLostAnswer() {
    const std::lock_guard lock(mutex_);
    if (faults_.lose_write_answers <= 0) return false;
    --faults_.lose_write_answers;
    return true;
  }

  static void WaitForEver(net::cancellation& cancel) {
    while (!cancel.cancelled()) net::SleepFor(kFrozenPoll);
  }

  net::http_response Control(const net::http_request& request) {
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
      faults_.only = json::value_to<std::string>(*only);
    }
    return {200, {}, "ok\n"};
  }

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

  static std::uint64_t Number(const std::string& text) {
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
  }

  static std::uint64_t ExpectedVersion(const net::http_request& request) {
    const std::string_view tag = net::FindField(request.fields, "If-Match");
    return tag.size() < 2 ? 0 : Number(std::string(tag.substr(1, tag.size() - 2)));
  }

  static json::object ToJson(std::uint64_t revision, const std::vector<table_object>& list) {
    json::array objects;
    for (const table_object& item : list) {
      objects.push_back(
          json::object{{"name", item.name}, {"version", item.version}, {"value", item.value}});
    }
    return {{"revision", revision}, {"objects", std::move(objects)}};
  }

  net::http_response List(const net::http_request& request) {
    const std::uint64_t revision = objects_.revision();
    const auto list = objects_.List(QueryValue(request.target, "prefix"));
    return {200, {}, json::serialize(ToJson(revision, list))};
  }

  net::http_response Watch(const net::http_request& request, net::cancellation& cancel) {
    const std::string prefix = QueryValue(request.target, "prefix");
    const std::uint64_t since = Number(QueryValue(request.target, "since"));
    const milliseconds wait(Number(QueryValue(request.target, "wait_ms")));
    const auto end = std::chrono::steady_clock::now() + std::min(wait, kMaxWatch);
    while (true) {
      const fault_settings faults = FaultsFor("watch");
      if (faults.down) return {503, {}, "down\n"};
      const std::uint64_t revision = objects_.revision();
      const auto list = objects_.List(prefix, since);
      const bool ended = std::chrono::steady_clock::now() >= end || cancel.cancelled();
      if (!faults.frozen && (!list.empty() || ended)) {
        return {200, {}, json::serialize(ToJson(revision, list))};
      }
      if (cancel.cancelled()) return {503, {}, {}};
      net::SleepFor(kWatchPoll);
    }
  }

  net::http_response Object(const net::http_request& request) {
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
    if (name == "config/head") LogHead(request.body);
    return {200, {{"ETag", '"' + std::to_string(*version) + '"'}}, {}};
  }

  /// The scenario runner checks that no node serves a version that was never accepted.
  static void LogHead(const std::string& value) {
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
  return {{"address", support::setting_kind::kAddress, "address to listen on", "127.0.0.1:0"}};
}

int Main(std::span<const std::string> arguments) {
  const auto values = ParseOrExit(DeclaredSettings(), arguments);
  platform_stand_in stand_in;
  return ServeUntilSignal(values.address("address"),
                          [&](const net::http_request& request, net::cancellation& cancel) {
                            return stand_in.Handle(request, cancel);
                          });
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return siskinrack::test::Main(arguments);
}
