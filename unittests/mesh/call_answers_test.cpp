#include "call_answers.h"

#include <gtest/gtest.h>

namespace siskinrack::mesh {
namespace {

// Guards against errors that an upstream answers at once and that count as service times: the
// predicted waits became too short.
TEST(CallAnswers, ServerErrorIsNoSampleOfTheServiceTime) {
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::answered;
  for (const std::uint16_t status : {200, 302, 404}) {
    answer.status = status;
    EXPECT_EQ(ToCallResult(answer), admission::call_result::kAnswered) << status;
  }
  for (const std::uint16_t status : {500, 503, 504}) {
    answer.status = status;
    EXPECT_EQ(ToCallResult(answer), admission::call_result::kFailed) << status;
  }
}

}  // namespace
}  // namespace siskinrack::mesh
