#include "answer_samples.h"
#include "outcome.h"
#include "request_path_fixture.h"
#include "scripted_upstream.h"

namespace siskinrack::node {
namespace {

using test::exchange_sample;
using test::scripted_answer;

/// Two nodes, of which the second one is beside an upstream whose answers the test sets.
class broken_answers_test : public testing::Test {
 protected:
  /// Sends a request to the node beside the upstream, or to the other one.
  net::http_response Send(bool remote, const std::string& target, std::size_t body_bytes = 0) {
    const std::string id = std::to_string(++last_id_);
    // The requests differ, so that none is quarantined for what happened to an earlier one.
    return (remote ? entry_ : serving_)
        .Send({body_bytes > 0 ? "POST" : "GET",
               target + id,
               // Leaves time for a long upload on a busy machine.
               {{"x-request-id", id}, {std::string(kDeadlineField), "10000"}},
               std::string(body_bytes, 'x')});
  }

  net::http_response SendScripted(bool remote, const exchange_sample& exchange) {
    upstream_.SetAnswer(exchange.answer);
    serving_.context().runtime.Run(0, [&] { serving_.context().upstream_client.CloseIdle(); });
    if (exchange.reuse) {
      EXPECT_EQ(Send(remote, "/tray/ordinary").status, kStatusOk);
    }
    return Send(remote, "/tray/scripted", exchange.upload_bytes);
  }

  /// Expects that callers get no answer of the upstream, but learn before their deadline that the
  /// request may have run: they would get 504 then.
  void ExpectUnknown(const std::vector<exchange_sample>& exchanges) {
    for (const bool remote : {false, true}) {
      for (const exchange_sample& exchange : exchanges) {
        const net::http_response response = SendScripted(remote, exchange);
        EXPECT_EQ(GetOutcome(response), kUnknownOutcome)
            << exchange.description << ": " << response.status << ' ' << response.body;
        EXPECT_EQ(response.status, kStatusBadGateway) << exchange.description;
      }
    }
    // The health checks of the node use its connections as well, so that not every exchange is on a
    // connection of the intended kind.
    EXPECT_GE(upstream_.scripted_on_reused(), upstream_.scripted() / 3);
    EXPECT_LE(upstream_.scripted_on_reused(), upstream_.scripted() * 2 / 3);
  }

  /// Expects that callers get the answers of the upstream.
  void ExpectAnswered(const std::vector<exchange_sample>& exchanges) {
    for (const bool remote : {false, true}) {
      for (const exchange_sample& exchange : exchanges) {
        const net::http_response response = SendScripted(remote, exchange);
        EXPECT_EQ(GetOutcome(response), kAnsweredOutcome)
            << exchange.description << ": " << response.status << ' ' << response.body;
        if (response.status == kStatusOk) {
          EXPECT_EQ(response.body, test::kSampleBody) << exchange.description;
        }
      }
    }
  }

  void SetUp() override {
    for (test_node* node : {&entry_, &serving_}) {
      node->context().members.Merge(serving_.MakeRecord());
    }
  }

 private:
  static net::http_response AnswerNothing(const net::http_request&, net::cancellation&) {
    return {};
  }

  test::scripted_upstream upstream_{{"127.0.0.1", 0}};
  test_node entry_{"entry", AnswerNothing};
  test_node serving_{"serving", AnswerNothing, upstream_.address()};
  int last_id_ = 0;
};

// Guards against a part of a body that callers get as a whole answer.
TEST_F(broken_answers_test, ResetDuringALongUploadIsNotPassedOn) {
  ExpectUnknown(test::MakeResetsDuringUploads());
}

// Guards against a truncated answer that callers get as a whole one.
TEST_F(broken_answers_test, TruncatedAnswersAreNotPassedOn) {
  ExpectUnknown(test::MakeExchanges(test::MakeTruncatedAnswers()));
}

// Guards against an invalid status that callers get, or for whose request they wait.
TEST_F(broken_answers_test, ForbiddenStatusesAreNotPassedOn) {
  ExpectUnknown(test::MakeExchanges(test::MakeForbiddenStatuses()));
}

// Guards against a malformed field that callers get, or that changes the length of the body.
TEST_F(broken_answers_test, MalformedFieldsAreNotPassedOn) {
  ExpectUnknown(test::MakeExchanges(test::MakeMalformedFields()));
}

// Guards against a body that isn't the one of the upstream because its length is unclear.
TEST_F(broken_answers_test, MalformedFramingsAreNotPassedOn) {
  ExpectUnknown(test::MakeExchanges(test::MakeMalformedFramings()));
}

// Guards against checks that reject valid answers.
TEST_F(broken_answers_test, ValidAnswersArePassedOn) {
  ExpectAnswered(test::MakeExchanges(test::MakeValidAnswers()));
  ExpectAnswered(test::MakeEndsDuringUploads());
}

// Guards against trailers on which a node acts: one made an answer to a request that had run a
// refusal, which promises that it will never run.
TEST_F(broken_answers_test, TrailersAreNoRefusal) {
  const scripted_answer answer{test::MakeAnswerHead("HTTP/1.1 500 Internal Server Error") +
                               "Transfer-Encoding: chunked\r\n\r\n0\r\n" +
                               std::string(kOutcomeField) + ": " + std::string(kNotRunOutcome) +
                               "\r\n\r\n"};
  for (const bool remote : {false, true}) {
    const net::http_response response = SendScripted(remote, {"trailer", answer});
    EXPECT_EQ(GetOutcome(response), kAnsweredOutcome);
    EXPECT_EQ(response.status, 500U);
  }
}

}  // namespace
}  // namespace siskinrack::node
