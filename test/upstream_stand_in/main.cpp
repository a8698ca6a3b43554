// Simulates an upstream for tests. It responds to every request with a JSON object that echoes the
// request's id, target and body, so that a caller can check that the response is complete and
// belongs to its request, and counts executions by idempotency key. PUT /control/behaviour sets the
// behaviour, given as a JSON object; absent members are reset to their defaults:
//   {"service_ms":20}         service time of each request; 5 by default
//   {"frozen":true}           requests start and don't finish until this is reset
//   {"shed":true}             responds with 503 "not run" and Retry-After
//   {"fail_fast":true}        responds with 500 immediately
//   {"lose_answers":1}        executes that many requests without sending a response
//   {"crash_target":"/bad"}   exits the process on a request whose target contains the text
//   {"healthy":false}         result of /healthz, independent of the other members
// GET /control/executions returns {"total":n,"by_key":{"<key>":n}}.

#include <atomic>
#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>

#include "server_main.h"

namespace siskinrack::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kHealthCheckTime{6};
constexpr milliseconds kFrozenPollInterval{20};
/// Exit code that a shell reports for a process that SIGABRT terminated: 128 + 6.
constexpr int kCrashExitCode = 134;

struct behaviour {
  std::int64_t service_ms = 5;
  bool frozen = false;
  bool shed = false;
  bool fail_fast = false;
  bool healthy = true;
  std::int64_t lose_answers = 0;
  std::string crash_target;
};

class upstream_stand_in {
 public:
  upstream_stand_in(std::string name, std::size_t slots) : name_(std::move(name)), slots_(slots) {}

  net::http_response Handle(const net::http_request& request, net::cancellation& cancel) {
    if (request.target.starts_with("/control/")) return HandleControl(request);
    const behaviour current = CurrentBehaviour();
    if (request.target == "/healthz") {
      net::SleepFor(kHealthCheckTime);
      return {current.healthy ? 200U : 503U, {}, {}};
    }
    if (current.shed || in_flight_ >= slots_) return MakeNotRunResponse();
    if (!current.crash_target.empty() &&
        request.target.find(current.crash_target) != std::string::npos) {
      std::_Exit(kCrashExitCode);
    }
    if (current.fail_fast) return {500, {}, "failed\n"};
    return Execute(request, current, cancel);
  }

 private:
  static net::http_response MakeNotRunResponse() {
    return {503, {{"x-siskinrack-outcome", "not-run"}, {"Retry-After", "1"}}, {}};
  }

  behaviour CurrentBehaviour() {
    const std::lock_guard lock(mutex_);
    return behaviour_;
  }

  net::http_response Execute(const net::http_request& request, const behaviour& current,
                             net::cancellation& cancel) {
    ++in_flight_;
    CountExecution(request);
    net::SleepFor(milliseconds(current.service_ms));
    while (CurrentBehaviour().frozen && !cancel.cancelled()) net::SleepFor(kFrozenPollInterval);
    --in_flight_;
    if (ConsumeResponseLoss()) {
      while (!cancel.cancelled()) net::SleepFor(kFrozenPollInterval);
    }
    const std::string id(net::FindField(request.fields, "x-request-id"));
    const json::object body = {{"upstream", name_},
                               {"request_id", id},
                               {"target", request.target},
                               {"body", request.body}};
    net::http_response response{
        200, {{"Content-Type", "application/json"}}, json::serialize(body) + '\n'};
    if (!id.empty()) response.fields.push_back({"x-request-id", id});
    return response;
  }

  void CountExecution(const net::http_request& request) {
    const std::lock_guard lock(mutex_);
    ++total_;
    const std::string key(net::FindField(request.fields, "idempotency-key"));
    if (key.empty()) return;
    ++by_key_[key];
    // The scenario runner counts these lines, because a killed process loses its counters.
    std::cout << "event=executed key=" << key << " target=" << request.target
              << " copy=" << net::FindField(request.fields, "x-test-copy") << std::endl;
  }

  /// Returns true if the response to the current request is to be lost, and decrements the number
  /// of responses left to lose.
  bool ConsumeResponseLoss() {
    const std::lock_guard lock(mutex_);
    if (behaviour_.lose_answers <= 0) return false;
    --behaviour_.lose_answers;
    return true;
  }

  net::http_response HandleControl(const net::http_request& request) {
    const std::lock_guard lock(mutex_);
    if (request.target == "/control/executions") {
      const json::object body = {{"total", total_}, {"by_key", json::value_from(by_key_)}};
      return {200, {}, json::serialize(body) + '\n'};
    }
    if (request.target != "/control/behaviour" || request.method != "PUT") return {404, {}, {}};
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object()) return {400, {}, "not a JSON object\n"};
    behaviour_ = ReadBehaviour(body.get_object());
    return {200, {}, "ok\n"};
  }

  static behaviour ReadBehaviour(const json::object& members) {
    behaviour result;
    const auto flag = [&](std::string_view name, bool default_value) {
      const json::value* value = members.if_contains(name);
      return value != nullptr && value->is_bool() ? value->get_bool() : default_value;
    };
    const auto number = [&](std::string_view name, std::int64_t default_value) {
      const json::value* value = members.if_contains(name);
      return value != nullptr && value->is_int64() ? value->get_int64() : default_value;
    };
    result.service_ms = number("service_ms", result.service_ms);
    result.frozen = flag("frozen", false);
    result.shed = flag("shed", false);
    result.fail_fast = flag("fail_fast", false);
    result.healthy = flag("healthy", true);
    result.lose_answers = number("lose_answers", 0);
    if (const json::value* target = members.if_contains("crash_target"); target != nullptr) {
      result.crash_target = json::value_to<std::string>(*target);
    }
    return result;
  }

  std::string name_;
  std::size_t slots_;
  std::atomic<std::size_t> in_flight_ = 0;
  std::mutex mutex_;
  behaviour behaviour_;
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> by_key_;
};

int Main(std::span<const std::string> arguments) {
  using support::setting_kind;
  const std::vector<support::setting> declared = {
      {"address", setting_kind::kAddress, "listening address", "127.0.0.1:0"},
      {"name", setting_kind::kText, "upstream name in responses", "upstream"},
      {"slots", setting_kind::kInteger, "maximum number of concurrent requests", "6", 1, 1024}};
  const auto values = ParseOrExit(declared, arguments);
  upstream_stand_in upstream(values.text("name"),
                             static_cast<std::size_t>(values.integer("slots")));
  return ServeUntilSignal(values.address("address"),
                          [&](const net::http_request& request, net::cancellation& cancel) {
                            return upstream.Handle(request, cancel);
                          });
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return siskinrack::test::Main(arguments);
}
