// Implements the commands that send requests or configurations and that check the results.

#include <iostream>

#include "event_lines.h"
#include "invariants.h"
#include "runner.h"
#include "step_checks.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kControlTimeout{5'000};

}  // namespace

std::string runner::JoinCallerAddresses(const std::string& selector) {
  std::string list;
  for (const fleet_node* node : fleet_.Select(selector)) {
    if (!list.empty()) list += ',';
    list += node->caller.ToText();
  }
  return list;
}

void runner::SendBatch(const scenario_step& step) {
  const std::string& name = RequireArgument(step, 0);
  const std::string log = (fleet_.work() / ("send-" + name + ".log")).string();
  std::vector<std::string> command = {
      (fleet_.binaries() / "caller").string(),
      "--addresses=" + JoinCallerAddresses(step.GetOption("via", "all")),
      "--run-id=" + step.GetOption("run_id", name), "--copy=" + name, "--allow-refused"};
  if (step.options.contains("repeat")) command.push_back("--repeat");
  for (const std::string option : {"requests", "targets", "ranks", "concurrency", "deadline-ms"}) {
    if (step.options.contains(option))
      command.push_back("--" + option + '=' + step.GetOption(option));
  }
  batches_[name] = {std::make_unique<child_process>(command, log), log};
  if (!step.options.contains("background")) AwaitBatch(step);
}

void runner::AwaitBatch(const scenario_step& step) {
  const auto found = batches_.find(RequireArgument(step, 0));
  if (found == batches_.end()) FailStep("unknown batch '" + RequireArgument(step, 0) + "'");
  found->second.process->Wait();
  const std::string text = ReadFile(found->second.log);
  for (const auto& [key, condition] : step.options) {
    if (key != "answered_own" && key != "refused_not_run" && key != "unknown" &&
        key != "unreached" && key != "wrong_answers") {
      continue;
    }
    std::string total;
    for (const std::string& line : ReadLines(found->second.log)) {
      if (IsEvent(line, "totals")) total = GetEventField(line, key);
    }
    if (total.empty() || !IsSatisfied(std::stol(total), condition)) {
      FailStep(key + " of batch '" + found->first + "' is '" + total + "', expected " + condition);
    }
  }
}

void runner::PostRequest(const scenario_step& step) {
  net::http_request request{"POST", step.GetOption("target", "/"), {}, step.GetOption("body", "x")};
  request.fields = {{"x-request-id", step.GetOption("key", "post")},
                    {"x-siskinrack-deadline-ms", step.GetOption("deadline-ms", "5000")}};
  if (step.options.contains("key")) {
    request.fields.push_back({"idempotency-key", step.GetOption("key")});
  }
  if (step.options.contains("attempt")) {
    request.fields.push_back({"x-siskinrack-attempt", step.GetOption("attempt")});
  }
  if (step.options.contains("rank")) {
    request.fields.push_back({"x-siskinrack-rank", step.GetOption("rank")});
  }
  const auto nodes = fleet_.Select(step.GetOption("via", fleet_.nodes().front()->id));
  const auto timeout = step.GetDuration("timeout", milliseconds(8'000));
  const auto result = fleet_.Send(nodes.front()->caller, request, timeout);
  const std::string outcome(net::FindField(result.response.fields, "x-siskinrack-outcome"));
  std::cout << "  status=" << result.response.status << " outcome=" << outcome
            << " reason=" << net::FindField(result.response.fields, "x-siskinrack-reason") << '\n';
  const std::string expected_outcome = step.GetOption("outcome");
  if (!expected_outcome.empty() && outcome != expected_outcome)
    FailStep("outcome is '" + outcome + "', expected '" + expected_outcome + "'");
  if (step.options.contains("status") &&
      step.GetNumber("status", 0) != static_cast<std::int64_t>(result.response.status)) {
    FailStep("status is " + std::to_string(result.response.status) + ", expected " +
             step.GetOption("status"));
  }
}

void runner::PushConfig(const scenario_step& step) {
  const std::string text = ReadFile((folder_ / RequireArgument(step, 1)).string());
  net::http_result result;
  if (RequireArgument(step, 0) == "platform") {
    const std::string target = "/objects/config/head";
    const auto current = fleet_.Send(fleet_.platform(), {"GET", target, {}, {}}, kControlTimeout);
    const std::string etag(net::FindField(current.response.fields, "ETag"));
    result = fleet_.Send(fleet_.platform(), {"PUT", target, {{"If-Match", etag}}, text},
                         kControlTimeout);
  } else {
    const auto nodes = fleet_.Select(RequireArgument(step, 0));
    result = fleet_.Send(nodes.front()->admin, {"PUT", "/config", {}, text}, kControlTimeout);
  }
  if (step.GetNumber("status", 200) != static_cast<std::int64_t>(result.response.status)) {
    FailStep("status is " + std::to_string(result.response.status) + ", expected " +
             step.GetOption("status", "200"));
  }
}

void runner::CheckPlatformObject(const scenario_step& step) {
  const std::string target = "/objects/" + step.GetOption("object");
  const std::string contains = step.GetOption("contains");
  const auto found = [&] {
    return fleet_.Get(fleet_.platform(), target).find(contains) != std::string::npos;
  };
  if (!WaitUntil(step.GetDuration("within", milliseconds(0)), found)) {
    FailStep("object '" + step.GetOption("object") + "' lacks '" + contains +
             "': " + fleet_.Get(fleet_.platform(), target));
  }
}

void runner::CheckExpectation(const scenario_step& step) {
  if (step.options.contains("object")) return CheckPlatformObject(step);
  if (step.options.contains("executions")) {
    const observed_history history = ReadHistory(fleet_.work());
    const auto found = history.executions.find(step.GetOption("key"));
    const std::int64_t count = found == history.executions.end() ? 0 : found->second;
    if (!IsSatisfied(count, step.GetOption("executions"))) {
      FailStep("key '" + step.GetOption("key") + "' was executed " + std::to_string(count) +
               " times, expected " + step.GetOption("executions"));
    }
    return;
  }
  if (step.options.contains("page")) {
    const std::string page =
        fleet_.Get(fleet_.Select(RequireArgument(step, 0)).front()->admin, step.GetOption("page"));
    const bool found = page.find(step.GetOption("contains")) != std::string::npos;
    const bool has_excluded_text =
        step.options.contains("lacks") && page.find(step.GetOption("lacks")) != std::string::npos;
    if (!found || has_excluded_text) {
      FailStep("page " + step.GetOption("page") + " of '" + RequireArgument(step, 0) + "' " +
               (found ? "contains '" + step.GetOption("lacks")
                      : "lacks '" + step.GetOption("contains")) +
               "': " + page);
    }
    return;
  }
  const std::string log = (fleet_.work() / (RequireArgument(step, 0) + ".log")).string();
  std::int64_t count = 0;
  for (const std::string& line : ReadLines(log)) {
    if (IsEvent(line, step.GetOption("event"))) ++count;
  }
  if (!IsSatisfied(count, step.GetOption("count", ">=1"))) {
    FailStep("'" + RequireArgument(step, 0) + "' logged " + std::to_string(count) + " events " +
             step.GetOption("event") + ", expected " + step.GetOption("count", ">=1"));
  }
}

}  // namespace siskinrack::test
