#include <gtest/gtest.h>

#include "answer_samples.h"
#include "mesh_fleet.h"
#include "scripted_upstream.h"

namespace siskinrack::test {
namespace {

/// Leaves time for a long upload on a busy machine. An answer that is waited for until then is 504.
constexpr std::chrono::seconds kRouteTimeout{10};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadGateway = 502;

/// Two or three nodes, of which the second one is beside an upstream whose answers the test sets.
class broken_answers_test : public testing::Test {
 protected:
  explicit broken_answers_test(const std::vector<std::string>& services = {"shop", "dock"})
      : nodes_(services.size()), fleet_(services) {}

  void SetUp() override {
    fleet_.SetRouteTimeout(kRouteTimeout);
    fleet_.Configure(1);
    for (std::size_t i = 0; i < nodes_; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
    fleet_.instance(kScripted).Stop();
    upstream_ = std::make_unique<scripted_upstream>(fleet_.upstream(kScripted));
  }

  /// Sends a request through the node of `machine`, whose answer must be valid. Targets differ, so
  /// that none is quarantined for what happened to an earlier request.
  net::http_result Send(std::size_t machine, const std::string& target, std::size_t body_bytes) {
    net::http_result result =
        fleet_.Send(machine, target + std::to_string(++last_target_),
                    body_bytes > 0 ? "POST" : "GET", std::string(body_bytes, 'x'));
    EXPECT_EQ(result.stage, net::exchange_stage::kAnswered) << result.error;
    return result;
  }

  /// Sends an at-most-once request that the upstream answers with the sample.
  net::http_result SendScripted(std::size_t machine, const exchange_sample& exchange) {
    upstream_->SetAnswer(exchange.answer);
    if (exchange.reuse) {
      EXPECT_EQ(Send(machine, "/once/dock/ordinary", 0).response.status, kStatusOk);
    }
    return Send(machine, "/once/dock/scripted", exchange.upload_bytes);
  }

  /// Expects that callers on both machines get no answer of the upstream, but learn before the
  /// timeout of the route that the request may have run.
  void ExpectUnknown(const std::vector<exchange_sample>& exchanges) {
    for (const std::size_t machine : {std::size_t{0}, kScripted}) {
      for (const exchange_sample& exchange : exchanges) {
        const net::http_result result = SendScripted(machine, exchange);
        EXPECT_EQ(result.response.status, kStatusBadGateway)
            << exchange.description << ": " << result.error << result.response.body;
        EXPECT_EQ(net::FindField(result.response.fields, "Server-Stamp"), "");
      }
    }
    ExpectBothKindsOfConnections();
  }

  /// Expects that callers on both machines get the answers of the upstream.
  void ExpectAnswered(const std::vector<exchange_sample>& exchanges) {
    for (const std::size_t machine : {std::size_t{0}, kScripted}) {
      for (const exchange_sample& exchange : exchanges) {
        const net::http_result result = SendScripted(machine, exchange);
        EXPECT_EQ(net::FindField(result.response.fields, "Server-Stamp"), "stamp")
            << exchange.description << ": " << result.response.status << result.response.body;
        if (result.response.status == kStatusOk) {
          EXPECT_EQ(result.response.body, kSampleBody) << exchange.description;
        }
      }
    }
  }

  /// A connection on which an answer was broken isn't used again, so the next exchange is on a new
  /// one unless an ordinary request precedes it.
  void ExpectBothKindsOfConnections() const {
    EXPECT_GE(upstream_->scripted_on_reused(), upstream_->scripted() / 3);
    EXPECT_LE(upstream_->scripted_on_reused(), upstream_->scripted() * 2 / 3);
  }

  static constexpr std::size_t kScripted = 1;
  std::size_t nodes_;
  mesh_fleet fleet_;
  std::unique_ptr<scripted_upstream> upstream_;

 private:
  int last_target_ = 0;
};

// Guards against a part of a body that callers get as a whole answer.
TEST_F(broken_answers_test, ResetDuringALongUploadIsNotPassedOn) {
  for (int i = 0; i < 3; ++i) ExpectUnknown(MakeResetsDuringUploads());
}

// Guards against a truncated answer that callers get as a whole one.
TEST_F(broken_answers_test, TruncatedAnswersAreNotPassedOn) {
  ExpectUnknown(MakeExchanges(MakeTruncatedAnswers()));
}

// Guards against an invalid status that callers get, or for whose request they wait.
TEST_F(broken_answers_test, ForbiddenStatusesAreNotPassedOn) {
  ExpectUnknown(MakeExchanges(MakeForbiddenStatuses()));
}

// Guards against a malformed field that callers get, or that changes the length of the body.
TEST_F(broken_answers_test, MalformedFieldsAreNotPassedOn) {
  ExpectUnknown(MakeExchanges(MakeMalformedFields()));
}

// Guards against a body that isn't the one of the upstream because its length is unclear.
TEST_F(broken_answers_test, MalformedFramingsAreNotPassedOn) {
  ExpectUnknown(MakeExchanges(MakeMalformedFramings()));
}

// Guards against checks that reject valid answers.
TEST_F(broken_answers_test, ValidAnswersArePassedOn) {
  ExpectAnswered(MakeEndsDuringUploads());
  ExpectAnswered(MakeExchanges(MakeValidAnswers()));
}

// Guards against trailers on which a node acts: one made an answer to a request that had run a
// refusal, which promises that it will never run.
TEST_F(broken_answers_test, TrailersAreNoRefusal) {
  upstream_->SetAnswer({MakeAnswerHead() +
                        "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n"
                        "Not-Run: 1\r\n\r\n"});
  for (const std::size_t machine : {std::size_t{0}, kScripted}) {
    const net::http_result result = Send(machine, "/once/dock/scripted", 0);
    EXPECT_EQ(result.response.status, kStatusOk) << result.response.body;
    EXPECT_EQ(result.response.body, kSampleBody);
  }
}

class repeatable_request_test : public broken_answers_test {
 protected:
  repeatable_request_test() : broken_answers_test({"shop", "dock", "dock"}) {}
};

// Guards against a broken answer that ends a request although another upstream could run it.
TEST_F(repeatable_request_test, IsAnsweredByAnotherUpstream) {
  upstream_->SetAnswer({"HTTP/1.1 000 Status\r\n\r\n"});
  constexpr int kRequests = 60;
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    const net::http_result result = Send(i % nodes_, "/dock/scripted", 0);
    answered += result.response.status == kStatusOk && result.response.body == "by i-2";
  }
  EXPECT_GT(upstream_->scripted(), 0);
  EXPECT_EQ(answered, kRequests);
}

}  // namespace
}  // namespace siskinrack::test
