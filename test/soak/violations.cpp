#include "violations.h"

#include <algorithm>

namespace siskinrack::test {
namespace {

constexpr unsigned kOk = 200;
/// Statuses that guarantee that the request has not run and will not run.
constexpr unsigned kNotRunStatuses[] = {408, 421, 429, 503};

/// Returns true if `status` is one of kNotRunStatuses.
bool IsNotRunStatus(unsigned status) {
  return std::find(std::begin(kNotRunStatuses), std::end(kNotRunStatuses), status) !=
         std::end(kNotRunStatuses);
}

/// Returns true if the path of a request names `service`: /<service>/... or /once/<service>/...
bool BelongsTo(const std::string& target, const std::string& service) {
  return target.starts_with('/' + service + '/') || target.starts_with("/once/" + service + '/');
}

/// Checks single runs and requests and collects the violations.
class violation_checker {
 public:
  std::vector<std::string> violations;

  /// Checks a run on an upstream of `service` against the request that the caller sent; `request`
  /// is null if there is none.
  void CheckRun(const observed_service& service, const observed_run& run,
                const observed_request* request) {
    if (request == nullptr)
      return AddViolation("UNASKED", run.target, "no caller sent this request");
    if (request->method != run.method || request->body != run.body) {
      AddViolation("UNASKED", run.target, "method or body differs from what the caller sent");
    }
    if (request->caller_service != run.caller)
      AddViolation("UNASKED", run.target,
                   "caller is '" + run.caller + "', expected '" + request->caller_service + "'");
    if (!BelongsTo(run.target, service.name))
      AddViolation("ROUTE", run.target, "run by an upstream of service " + service.name);
  }

  /// Checks the response to a request that ran `runs` times.
  void CheckRequest(const observed_request& request, std::size_t runs) {
    if (request.at_most_once && runs > 1) {
      AddViolation("TWICE", request.target, std::to_string(runs) + " runs, expected at most 1");
    }
    if (request.at_most_once && IsNotRunStatus(request.status) && runs > 0) {
      AddViolation("REFUSED", request.target,
                   "status " + std::to_string(request.status) + ", but the request ran");
    }
    if (request.status != kOk) return;
    if (runs == 0) AddViolation("MIXED", request.target, "status 200, but the request did not run");
    const bool echo = request.target.ends_with("/echo");
    if (echo ? request.answer != request.body : !request.answer.starts_with("by i-")) {
      AddViolation("MIXED", request.target,
                   "unexpected response of " + std::to_string(request.answer.size()) + " bytes");
    }
  }

 private:
  void AddViolation(const std::string& rule, const std::string& target, const std::string& detail) {
    violations.push_back(rule + ' ' + target + ": " + detail);
  }
};

}  // namespace

std::vector<std::string> FindViolations(std::span<const observed_request> requests,
                                        std::span<const observed_service> services) {
  std::map<std::string, const observed_request*> sent;
  for (const observed_request& request : requests) sent.emplace(request.target, &request);
  std::map<std::string, std::size_t> runs;
  violation_checker checker;
  for (const observed_service& service : services) {
    for (const observed_run& run : service.runs) {
      ++runs[run.target];
      const auto found = sent.find(run.target);
      checker.CheckRun(service, run, found == sent.end() ? nullptr : found->second);
    }
  }
  for (const observed_request& request : requests) {
    checker.CheckRequest(request, runs[request.target]);
  }
  return checker.violations;
}

}  // namespace siskinrack::test
