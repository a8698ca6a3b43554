#include "promises.h"

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

std::string FirstBroken(const observed_request& request, const observed_service& service) {
  const auto lines = BrokenPromises({&request, 1}, {&service, 1});
  return lines.empty() ? std::string() : lines.front().substr(0, lines.front().find(' '));
}

// Guards against a soak that passes because its checks see nothing: each case breaks one promise.
TEST(Promises, EachBrokenPromiseIsFound) {
  const std::string target = "/once/dock/1";
  EXPECT_EQ(FirstBroken(MakeRequest(target, 200), {"dock", {MakeRun(target)}}), "");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 502), {"dock", {MakeRun(target)}}), "");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 502), {"dock", {MakeRun(target), MakeRun(target)}}),
            "TWICE");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 503), {"dock", {MakeRun(target)}}), "REFUSED");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 200), {"dock", {}}), "MIXED");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 200, "by another"), {"dock", {MakeRun(target)}}),
            "MIXED");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 200), {"shop", {MakeRun(target)}}), "ROUTE");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 200), {"dock", {MakeRun(target, "other")}}), "UNASKED");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 200), {"dock", {MakeRun(target, {}, "dock")}}),
            "UNASKED");
  EXPECT_EQ(FirstBroken(MakeRequest(target, 502), {"dock", {MakeRun("/once/dock/2")}}), "UNASKED");
  const std::string echo = "/once/dock/3/echo";
  EXPECT_EQ(FirstBroken(MakeRequest(echo, 200, "a", "ab"), {"dock", {MakeRun(echo, "ab")}}),
            "MIXED");
}

}  // namespace
}  // namespace siskinrack::test
