#include "promises.h"

#include <algorithm>

namespace siskinrack::test {
namespace {

constexpr unsigned kOk = 200;
/// Statuses that promise that the request has not run and will not run.
constexpr unsigned kNotRunStatuses[] = {408, 421, 429, 503};

bool PromisesNotRun(unsigned status) {
  return std::find(std::begin(kNotRunStatuses), std::end(kNotRunStatuses), status) !=
         std::end(kNotRunStatuses);
}

/// Requests name their service in the path: /<service>/... or /once/<service>/...
bool BelongsTo(const std::string& target, const std::string& service) {
  return target.starts_with('/' + service + '/') || target.starts_with("/once/" + service + '/');
}

class checker {
 public:
  std::vector<std::string> lines;

  void CheckRun(const observed_service& service, const observed_run& run,
                const observed_request* request) {
    if (request == nullptr) return Add("UNASKED", run.target, "nobody sent it");
    if (request->method != run.method || request->body != run.body) {
      Add("UNASKED", run.target, "changed on the way");
    }
    if (request->caller_service != run.caller) Add("UNASKED", run.target, "caller " + run.caller);
    if (!BelongsTo(run.target, service.name)) Add("ROUTE", run.target, "run by " + service.name);
  }

  void CheckRequest(const observed_request& request, std::size_t runs) {
    if (request.at_most_once && runs > 1) {
      Add("TWICE", request.target, std::to_string(runs) + " runs");
    }
    if (request.at_most_once && PromisesNotRun(request.status) && runs > 0) {
      Add("REFUSED", request.target, "status " + std::to_string(request.status) + ", but run");
    }
    if (request.status != kOk) return;
    if (runs == 0) Add("MIXED", request.target, "success without a run");
    const bool echo = request.target.ends_with("/echo");
    if (echo ? request.answer != request.body : !request.answer.starts_with("by i-")) {
      Add("MIXED", request.target, "answer of " + std::to_string(request.answer.size()) + " bytes");
    }
  }

 private:
  void Add(const std::string& rule, const std::string& target, const std::string& what) {
    lines.push_back(rule + ' ' + target + ": " + what);
  }
};

}  // namespace

std::vector<std::string> BrokenPromises(std::span<const observed_request> requests,
                                        std::span<const observed_service> services) {
  std::map<std::string, const observed_request*> sent;
  for (const observed_request& request : requests) sent.emplace(request.target, &request);
  std::map<std::string, std::size_t> runs;
  checker check;
  for (const observed_service& service : services) {
    for (const observed_run& run : service.runs) {
      ++runs[run.target];
      const auto found = sent.find(run.target);
      check.CheckRun(service, run, found == sent.end() ? nullptr : found->second);
    }
  }
  for (const observed_request& request : requests) {
    check.CheckRequest(request, runs[request.target]);
  }
  return check.lines;
}

}  // namespace siskinrack::test
