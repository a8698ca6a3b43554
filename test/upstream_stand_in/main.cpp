// Stand-in for an upstream. It answers every request with a JSON object that repeats the request's
// id, target and body, so that a caller can check that the answer is whole and its own, and counts
// each execution by idempotency key. Behaviour is set through PUT /control/behaviour; absent
// members are reset:
//   {"service_ms":20}         time per request
//   {"frozen":true}           requests start and don't end
//   {"shed":true}             answers 503 "not run" with Retry-After
//   {"fail_fast":true}        answers 500 at once
//   {"lose_answers":1}        that many requests run and their connection breaks without an answer
//   {"crash_target":"/bad"}   a request whose target contains the text ends the process
//   {"healthy":false}         what /healthz says, whatever the state
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

constexpr milliseconds kProbeCost{6};
constexpr milliseconds kFrozenPoll{20};
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
    if (request.target.starts_with("/control/")) return Control(request);
    const behaviour current = Behaviour();
    if (request.target == "/healthz") {
      net::SleepFor(kProbeCost);
      return {current.healthy ? 200U : 503U, {}, {}};
    }
    if (current.shed || running_ >= slots_) return NotRun();
    if (!current.crash_target.empty() &&
        request.target.find(current.crash_target) != std::string::npos) {
      std::_Exit(kCrashExitCode);
    }
    if (current.fail_fast) return {500, {}, "failed\n"};
    return Execute(request, current, cancel);
  }

 private:
  static net::http_response NotRun() {
    return {503, {{"x-siskinrack-outcome", "not-run"}, {"Retry-After", "1"}}, {}};
  }

  behaviour Behaviour() {
    const std::lock_guard lock(mutex_);
    return behaviour_;
  }

  net::http_response Execute(const net::http_request& request, const behaviour& current,
                             net::cancellation& cancel) {
    ++running_;
    CountExecution(request);
    net::SleepFor(milliseconds(current.service_ms));
    while (Behaviour().frozen && !cancel.cancelled()) net::SleepFor(kFrozenPoll);
    --running_;
    if (TakeLostAnswer()) {
      while (!cancel.cancelled()) net::SleepFor(kFrozenPoll);
    }
    const json::object body = {
        {"upstream", name_},
        {"request_id", std::string(net::FindField(request.fields, "x-request-id"))},
        {"target", request.target},
        {"body", request.body}};
    return {200, {{"Content-Type", "application/json"}}, json::serialize(body) + '\n'};
  }

  void CountExecution(const net::http_request& request) {
    const std::lock_guard lock(mutex_);
    ++total_;
    const std::string key(net::FindField(request.fields, "idempotency-key"));
    if (key.empty()) return;
    ++by_key_[key];
    // The scenario runner counts these lines, since a killed process forgets its counts.
    std::cout << "event=executed key=" << key << " target=" << request.target
              << " copy=" << net::FindField(request.fields, "x-test-copy") << std::endl;
  }

  bool TakeLostAnswer() {
    const std::lock_guard lock(mutex_);
    if (behaviour_.lose_answers <= 0) return false;
    --behaviour_.lose_answers;
    return true;
  }

  net::http_response Control(const net::http_request& request) {
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
    const auto flag = [&](std::string_view name, bool otherwise) {
      const json::value* value = members.if_contains(name);
      return value != nullptr && value->is_bool() ? value->get_bool() : otherwise;
    };
    const auto number = [&](std::string_view name, std::int64_t otherwise) {
      const json::value* value = members.if_contains(name);
      return value != nullptr && value->is_int64() ? value->get_int64() : otherwise;
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
  std::atomic<std::size_t> running_ = 0;
  std::mutex mutex_;
  behaviour behaviour_;
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> by_key_;
};

int Main(std::span<const std::string> arguments) {
  using support::setting_kind;
  const std::vector<support::setting> declared = {
      {"address", setting_kind::kAddress, "address to listen on", "127.0.0.1:0"},
      {"name", setting_kind::kText, "name given in answers", "upstream"},
      {"slots", setting_kind::kInteger, "requests at the same time", "6", 1, 1024}};
  const auto values = ParseOrExit(declared, arguments);
  upstream_stand_in stand_in(values.text("name"),
                             static_cast<std::size_t>(values.integer("slots")));
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
