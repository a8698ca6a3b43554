#include "violations.h"

#include <gtest/gtest.h>

namespace siskinrack::test {
namespace {

observed_run MakeRun(std::string target, std::string body = {}, std::string caller = "shop") {
  observed_run run;
  run.caller = std::move(caller);
  run.method = "POST";
  run.target = std::move(target);
  run.body = std::move(body);
  return run;
}

observed_request MakeRequest(std::string target, unsigned status, std::string answer = "by i-1",
                             std::string body = {}) {
  return {std::move(target), "POST", std::move(body), "shop", true, status, std::move(answer)};
}

std::string FirstViolatedRule(const observed_request& request, const observed_service& service) {
  const auto violations = FindViolations({&request, 1}, {&service, 1});
  return violations.empty() ? std::string()
                            : violations.front().substr(0, violations.front().find(' '));
}

// Guards against a soak test that passes because its checks detect nothing: each case after the
// first two violates one guarantee.
TEST(Violations, EachKindOfViolationIsDetected) {
  const std::string target = "/once/dock/1";
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 200), {"dock", {MakeRun(target)}}), "");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 502), {"dock", {MakeRun(target)}}), "");
  EXPECT_EQ(
      FirstViolatedRule(MakeRequest(target, 502), {"dock", {MakeRun(target), MakeRun(target)}}),
      "TWICE");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 503), {"dock", {MakeRun(target)}}), "REFUSED");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 200), {"dock", {}}), "MIXED");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 200, "by another"), {"dock", {MakeRun(target)}}),
            "MIXED");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 200), {"shop", {MakeRun(target)}}), "ROUTE");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 200), {"dock", {MakeRun(target, "other")}}),
            "UNASKED");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 200), {"dock", {MakeRun(target, {}, "dock")}}),
            "UNASKED");
  EXPECT_EQ(FirstViolatedRule(MakeRequest(target, 502), {"dock", {MakeRun("/once/dock/2")}}),
            "UNASKED");
  const std::string echo = "/once/dock/3/echo";
  EXPECT_EQ(FirstViolatedRule(MakeRequest(echo, 200, "a", "ab"), {"dock", {MakeRun(echo, "ab")}}),
            "MIXED");
}

}  // namespace
}  // namespace siskinrack::test
