#include "siskinrack/quarantine/run_outcome.h"

#include <gtest/gtest.h>

namespace siskinrack::quarantine {
namespace {

using net::exchange_stage;
using net::http_result;

// Guards against a response that clears crash evidence although it doesn't prove a completed run.
TEST(RunOutcome, OnlyASuccessThatRanProvesCompletion) {
  EXPECT_TRUE(ProvesCompletion({exchange_stage::kAnswered, {200, {}, {}}, {}, false}, true));
  EXPECT_FALSE(ProvesCompletion({exchange_stage::kAnswered, {200, {}, {}}, {}, false}, false));
  for (const unsigned status : {302U, 400U, 421U, 429U, 500U, 503U, 504U}) {
    EXPECT_FALSE(ProvesCompletion({exchange_stage::kAnswered, {status, {}, {}}, {}, false}, true))
        << status;
  }
  EXPECT_FALSE(ProvesCompletion({exchange_stage::kSent, {200, {}, {}}, {}, false}, true));
}

// Guards against a timeout or a cancellation that counts as a broken connection.
TEST(RunOutcome, OnlyABrokenConnectionIsBroken) {
  const http_result broken{exchange_stage::kSent, {}, "end of stream", false};
  EXPECT_EQ(ToRequestOutcome(broken, false), request_outcome::kBroken);
  EXPECT_EQ(ToRequestOutcome(broken, true), request_outcome::kAbandoned);
  EXPECT_EQ(ToRequestOutcome({exchange_stage::kSent, {}, "timeout", true}, false),
            request_outcome::kAbandoned);
  EXPECT_EQ(ToRequestOutcome({exchange_stage::kNotSent, {}, "refused", false}, false),
            request_outcome::kNotSent);
}

}  // namespace
}  // namespace siskinrack::quarantine
