// Commands of a scenario that send requests and check what came of them.

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

std::string runner::CallerList(const std::string& selector) {
  std::string list;
  for (const fleet_node* node : fleet_.Select(selector)) {
    if (!list.empty()) list += ',';
    list += node->caller.ToText();
  }
  return list;
}

void runner::SendBatch(const scenario_step& step) {
  const std::string& name = Word(step, 0);
  const std::string log = (fleet_.work() / ("send-" + name + ".log")).string();
  std::vector<std::string> command = {(fleet_.binaries() / "caller").string(),
                                      "--addresses=" + CallerList(step.Option("via", "all")),
                                      "--run-id=" + step.Option("run_id", name), "--copy=" + name,
                                      "--allow-refused"};
  if (step.options.contains("repeat")) command.push_back("--repeat");
  for (const std::string option : {"requests", "targets", "ranks", "concurrency", "deadline-ms"}) {
    if (step.options.contains(option)) command.push_back("--" + option + '=' + step.Option(option));
  }
  batches_[name] = {std::make_unique<child_process>(command, log), log};
  if (!step.options.contains("background")) AwaitBatch(step);
}

void runner::AwaitBatch(const scenario_step& step) {
  const auto found = batches_.find(Word(step, 0));
  if (found == batches_.end()) Fail("no batch '" + Word(step, 0) + "'");
  found->second.process->Wait();
  const std::string text = ReadWhole(found->second.log);
  for (const auto& [key, condition] : step.options) {
    if (key != "answered_own" && key != "refused_not_run" && key != "unknown" &&
        key != "unreached" && key != "wrong_answers") {
      continue;
    }
    std::string total;
    for (const std::string& line : ReadLines(found->second.log)) {
      if (IsEvent(line, "totals")) total = GetEventField(line, key);
    }
    if (total.empty() || !Holds(std::stol(total), condition)) {
      Fail(key + " is '" + total + "', expected " + condition);
    }
  }
}

void runner::Post(const scenario_step& step) {
  net::http_request request{"POST", step.Option("target", "/"), {}, step.Option("body", "x")};
  request.fields = {{"x-request-id", step.Option("key", "post")},
                    {"x-siskinrack-deadline-ms", step.Option("deadline-ms", "5000")}};
  if (step.options.contains("key")) {
    request.fields.push_back({"idempotency-key", step.Option("key")});
  }
  if (step.options.contains("attempt")) {
    request.fields.push_back({"x-siskinrack-attempt", step.Option("attempt")});
  }
  if (step.options.contains("rank")) {
    request.fields.push_back({"x-siskinrack-rank", step.Option("rank")});
  }
  const auto nodes = fleet_.Select(step.Option("via", fleet_.nodes().front()->id));
  const auto timeout = step.Time("timeout", milliseconds(8'000));
  const auto result = fleet_.Send(nodes.front()->caller, request, timeout);
  const std::string outcome(net::FindField(result.response.fields, "x-siskinrack-outcome"));
  std::cout << "  status=" << result.response.status << " outcome=" << outcome
            << " reason=" << net::FindField(result.response.fields, "x-siskinrack-reason") << '\n';
  const std::string wanted = step.Option("outcome");
  if (!wanted.empty() && outcome != wanted) Fail("outcome is '" + outcome + "'");
  if (step.options.contains("status") &&
      step.Number("status", 0) != static_cast<std::int64_t>(result.response.status)) {
    Fail("status is " + std::to_string(result.response.status));
  }
}

/// Writes a file over the platform's head, or hands it to a node as the operator program does.
void runner::Push(const scenario_step& step) {
  const std::string text = ReadWhole((folder_ / Word(step, 1)).string());
  net::http_result result;
  if (Word(step, 0) == "platform") {
    const std::string target = "/objects/config/head";
    const auto old = fleet_.Send(fleet_.platform(), {"GET", target, {}, {}}, kControlTimeout);
    const std::string tag(net::FindField(old.response.fields, "ETag"));
    result =
        fleet_.Send(fleet_.platform(), {"PUT", target, {{"If-Match", tag}}, text}, kControlTimeout);
  } else {
    const auto nodes = fleet_.Select(Word(step, 0));
    result = fleet_.Send(nodes.front()->admin, {"PUT", "/config", {}, text}, kControlTimeout);
  }
  if (step.Number("status", 200) != static_cast<std::int64_t>(result.response.status)) {
    Fail("status is " + std::to_string(result.response.status));
  }
}

void runner::ExpectObject(const scenario_step& step) {
  const std::string target = "/objects/" + step.Option("object");
  const std::string contains = step.Option("contains");
  const auto found = [&] {
    return fleet_.Get(fleet_.platform(), target).find(contains) != std::string::npos;
  };
  if (!WaitUntil(step.Time("within", milliseconds(0)), found)) {
    Fail("object is: " + fleet_.Get(fleet_.platform(), target));
  }
}

void runner::Expect(const scenario_step& step) {
  if (step.options.contains("object")) return ExpectObject(step);
  if (step.options.contains("executions")) {
    const observed_history history = ReadHistory(fleet_.work());
    const auto found = history.executions.find(step.Option("key"));
    const std::int64_t count = found == history.executions.end() ? 0 : found->second;
    if (!Holds(count, step.Option("executions"))) Fail(std::to_string(count) + " executions");
    return;
  }
  if (step.options.contains("page")) {
    const std::string page =
        fleet_.Get(fleet_.Select(Word(step, 0)).front()->admin, step.Option("page"));
    const bool found = page.find(step.Option("contains")) != std::string::npos;
    const bool unwanted =
        step.options.contains("lacks") && page.find(step.Option("lacks")) != std::string::npos;
    if (!found || unwanted) Fail("page is: " + page);
    return;
  }
  const std::string log = (fleet_.work() / (Word(step, 0) + ".log")).string();
  std::int64_t count = 0;
  for (const std::string& line : ReadLines(log)) {
    if (IsEvent(line, step.Option("event"))) ++count;
  }
  if (!Holds(count, step.Option("count", ">=1"))) Fail(std::to_string(count) + " events");
}

}  // namespace siskinrack::test
