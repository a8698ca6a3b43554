// Sends requests through several nodes and checks that each response is complete and belongs to its
// request. Prints one line of totals. Exits with 0 only if every request was answered or, with
// --allow-refused, answered or refused.

#include <atomic>
#include <boost/json.hpp>
#include <iostream>
#include <mutex>
#include <thread>

#include "server_main.h"
#include "siskinrack/net/http_client.h"

namespace siskinrack::test {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::chrono::seconds kRequestTimeout{10};
/// Number of different values of x-siskinrack-caller.
constexpr std::size_t kCallerNames = 7;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size() && !text.empty()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return parts;
}

/// Counts the requests by outcome.
struct totals {
  std::atomic<std::size_t> answered = 0;
  std::atomic<std::size_t> refused = 0;
  /// Requests that may have run and have no result.
  std::atomic<std::size_t> unknown = 0;
  /// Requests of which no byte was sent, because the node didn't accept a connection.
  std::atomic<std::size_t> unreached = 0;
  /// Responses that are malformed or belong to another request.
  std::atomic<std::size_t> wrong_answers = 0;
  /// Requests with any of these outcomes.
  std::atomic<std::size_t> completed = 0;
};

class caller {
 public:
  caller(net::fiber_runtime& runtime, const support::settings& values)
      : runtime_(runtime),
        client_(runtime),
        addresses_(values.addresses("addresses")),
        targets_(SplitAtCommas(values.text("targets"))),
        ranks_(SplitAtCommas(values.text("ranks"))),
        run_id_(values.text("run-id")),
        copy_(values.text("copy")),
        repeat_(values.flag("repeat")),
        requests_(static_cast<std::size_t>(values.integer("requests"))),
        concurrency_(static_cast<std::size_t>(values.integer("concurrency"))),
        deadline_ms_(values.integer("deadline-ms")) {}

  /// Sends all requests and blocks until each has an outcome.
  const totals& Run() {
    for (std::size_t i = 0; i < concurrency_; ++i) {
      runtime_.Post(i % runtime_.thread_count(), [this] {
        while (true) {
          const std::size_t index = next_index_++;
          if (index >= requests_) return;
          SendRequest(index);
          ++totals_.completed;
        }
      });
    }
    while (totals_.completed < requests_) std::this_thread::sleep_for(kPollInterval);
    return totals_;
  }

 private:
  void SendRequest(std::size_t index) {
    const std::string id = run_id_ + '-' + std::to_string(index);
    net::http_request request;
    request.method = "POST";
    request.target = targets_[index % targets_.size()] + "/item-" + std::to_string(index);
    request.fields = {{"x-request-id", id},
                      {"idempotency-key", id},
                      {"x-siskinrack-caller", "shop-" + std::to_string(index % kCallerNames)},
                      {"x-siskinrack-deadline-ms", std::to_string(deadline_ms_)}};
    // Attempt 0 declares that the request was not sent before.
    if (!repeat_) request.fields.push_back({"x-siskinrack-attempt", "0"});
    if (!copy_.empty()) request.fields.push_back({"x-test-copy", copy_ + '/' + id});
    if (!ranks_.empty()) {
      request.fields.push_back({"x-siskinrack-rank", ranks_[index % ranks_.size()]});
    }
    request.body = "body of " + id;
    const std::string target = request.target;
    const std::string body = request.body;
    const auto result = client_.Send(addresses_[index % addresses_.size()], std::move(request),
                                     std::chrono::steady_clock::now() + kRequestTimeout);
    Classify(result, id, target, body);
  }

  /// Counts the request under its outcome.
  void Classify(const net::http_result& result, const std::string& id, const std::string& target,
                const std::string& body) {
    if (result.stage == net::exchange_stage::kNotSent) {
      ++totals_.unreached;
      return;
    }
    if (result.stage != net::exchange_stage::kAnswered) {
      ++totals_.unknown;
      PrintEvent("unknown", id, result.error);
      return;
    }
    const std::string_view outcome = net::FindField(result.response.fields, "x-siskinrack-outcome");
    if (outcome == "not-run") {
      ++totals_.refused;
      PrintEvent("refused", id, net::FindField(result.response.fields, "x-siskinrack-reason"));
    } else if (outcome == "unknown") {
      ++totals_.unknown;
      PrintEvent("unknown", id, net::FindField(result.response.fields, "x-siskinrack-reason"));
    } else if (IsOwnAnswer(result.response, id, target, body)) {
      ++totals_.answered;
    } else {
      ++totals_.wrong_answers;
    }
  }

  void PrintEvent(std::string_view event, const std::string& id, std::string_view reason) {
    const std::lock_guard lock(output_mutex_);
    std::cout << "event=" << event << " id=" << id << " copy=" << copy_ << '/' << id
              << " repeat=" << repeat_ << " reason=\"" << reason << "\"\n";
  }

  /// Returns true if the response is complete and echoes this request's id, target and body.
  static bool IsOwnAnswer(const net::http_response& response, const std::string& id,
                          const std::string& target, const std::string& body) {
    json::error_code error;
    const json::value value = json::parse(response.body, error);
    if (error || response.status != 200 || !value.is_object()) return false;
    const json::object& members = value.get_object();
    const auto matches = [&](std::string_view key, const std::string& expected) {
      const json::value* member = members.if_contains(key);
      return member != nullptr && member->is_string() && member->get_string() == expected;
    };
    return matches("request_id", id) && matches("target", target) && matches("body", body);
  }

  net::fiber_runtime& runtime_;
  net::http_client client_;
  std::vector<support::socket_address> addresses_;
  std::vector<std::string> targets_;
  std::vector<std::string> ranks_;
  std::string run_id_;
  std::string copy_;
  bool repeat_;
  std::size_t requests_;
  std::size_t concurrency_;
  std::int64_t deadline_ms_;
  std::atomic<std::size_t> next_index_ = 0;
  std::mutex output_mutex_;
  totals totals_;
};

int Main(std::span<const std::string> arguments) {
  using support::setting_kind;
  const std::vector<support::setting> declared = {
      {"addresses", setting_kind::kAddressList, "caller addresses of the nodes", std::nullopt},
      {"targets", setting_kind::kText, "path prefixes, comma-separated", std::nullopt},
      {"ranks", setting_kind::kText, "ranks, comma-separated", ""},
      {"run-id", setting_kind::kText, "prefix of request ids and idempotency keys", "run"},
      {"repeat", setting_kind::kFlag,
       "the requests are repeats of an earlier run with the same run-id", "false"},
      {"copy", setting_kind::kText,
       "value that distinguishes repeated runs with the same run-id; empty to send no x-test-copy",
       ""},
      {"requests", setting_kind::kInteger, "number of requests", "200", 1, 1'000'000},
      {"concurrency", setting_kind::kInteger, "number of concurrent requests", "8", 1, 1024},
      {"deadline-ms", setting_kind::kInteger, "deadline of each request", "5000", 1, 30'000, "ms"},
      {"allow-refused", setting_kind::kFlag, "exit with 0 even if requests were refused", "false"}};
  const auto values = ParseOrExit(declared, arguments);
  net::fiber_runtime runtime(2);
  caller load_generator(runtime, values);
  const totals& result = load_generator.Run();
  const auto requests = static_cast<std::size_t>(values.integer("requests"));
  std::cout << "event=totals requests_sent=" << requests << " answered_own=" << result.answered
            << " refused_not_run=" << result.refused << " unknown=" << result.unknown
            << " unreached=" << result.unreached << " wrong_answers=" << result.wrong_answers
            << std::endl;
  const bool complete = result.answered == requests;
  const bool allowed = values.flag("allow-refused") && result.answered + result.refused == requests;
  std::_Exit(complete || allowed ? 0 : 1);
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return siskinrack::test::Main(arguments);
}
