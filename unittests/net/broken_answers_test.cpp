#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "answer_samples.h"
#include "scripted_upstream.h"
#include "siskinrack/net/http_client.h"

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using test::exchange_sample;
using test::scripted_upstream;

constexpr milliseconds kTimeout{10'000};

class broken_answers_test : public testing::Test {
 protected:
  ~broken_answers_test() override {
    runtime_.Run(0, [&] { client_.CloseIdle(); });
  }

  http_result Send(const std::string& target, std::size_t body_bytes = 0) {
    http_result result;
    runtime_.Run(0, [&] {
      result = client_.Send(upstream_.address(),
                            {body_bytes > 0 ? "POST" : "GET",
                             target,
                             {{"Request-Id", "r-" + std::to_string(++last_id_)}},
                             std::string(body_bytes, 'x'),
                             "host"},
                            steady_clock::now() + kTimeout);
    });
    return result;
  }

  http_result SendScripted(const exchange_sample& exchange) {
    upstream_.SetAnswer(exchange.answer);
    runtime_.Run(0, [&] { client_.CloseIdle(); });
    if (exchange.reuse) {
      EXPECT_EQ(Send("/ordinary").stage, exchange_stage::kAnswered);
    }
    const int reused_before = upstream_.scripted_on_reused();
    http_result result = Send("/scripted", exchange.upload_bytes);
    EXPECT_EQ(upstream_.scripted_on_reused() - reused_before, exchange.reuse ? 1 : 0);
    return result;
  }

  /// Expects that no answer is received, that this is known long before the deadline, and that the
  /// connection isn't used again.
  void ExpectNoAnswers(const std::vector<exchange_sample>& exchanges) {
    for (const exchange_sample& exchange : exchanges) {
      const http_result result = SendScripted(exchange);
      EXPECT_EQ(result.stage, exchange_stage::kSent)
          << exchange.description << ": " << result.response.status << ' ' << result.response.body;
      EXPECT_FALSE(result.timed_out) << exchange.description;
      EXPECT_EQ(Send("/ordinary").response.body, scripted_upstream::kOrdinaryBody);
    }
  }

  fiber_runtime runtime_{1};
  http_client client_{runtime_};
  scripted_upstream upstream_{{"127.0.0.1", 0}};

 private:
  int last_id_ = 0;
};

// Guards against a part of a body that counts as a whole one because the connection is reset while
// the request is being written: the write takes the error, and the read sees an end of stream.
TEST_F(broken_answers_test, ResetDuringALongUploadIsNoAnswer) {
  constexpr int kRepetitions = 6;
  for (int i = 0; i < kRepetitions; ++i) ExpectNoAnswers(test::MakeResetsDuringUploads());
}

// Guards against results of the read and the write that a busy thread learns together, in any
// order.
TEST_F(broken_answers_test, ManyExchangesAtOnceEndAsEachOne) {
  constexpr int kExchanges = 40;
  for (const bool in_order : {false, true}) {
    for (const exchange_sample& exchange :
         in_order ? test::MakeEndsDuringUploads() : test::MakeResetsDuringUploads()) {
      if (exchange.reuse) continue;
      upstream_.SetAnswer(exchange.answer);
      const std::string body(exchange.upload_bytes, 'x');
      std::atomic<int> answered = 0;
      std::atomic<int> ended = 0;
      for (int i = 0; i < kExchanges; ++i) {
        runtime_.Post(0, [&] {
          http_request request{"POST", "/scripted", {}, {}, "host"};
          request.body_view = body;
          const http_result result =
              client_.Send(upstream_.address(), std::move(request), steady_clock::now() + kTimeout);
          answered += result.stage == exchange_stage::kAnswered;
          ++ended;
        });
      }
      while (ended < kExchanges) std::this_thread::sleep_for(milliseconds(1));
      EXPECT_EQ(answered, in_order ? kExchanges : 0) << exchange.description;
    }
  }
}

// Guards against a request that counts as sent although its connection failed before its first
// byte: an at-most-once request may be sent elsewhere then.
TEST_F(broken_answers_test, RequestWithoutASentByteIsNotSent) {
  constexpr int kMaxRounds = 600;
  constexpr int kPauses = 20;
  // Encoding many fields takes a while between the look at the idle connection and the write. A
  // reset in between fails the write before its first byte; the pauses search for that time.
  http_request request{"GET", "/scripted", {}, {}, "host"};
  for (int i = 0; i < 5'000; ++i) request.fields.push_back({"Field-" + std::to_string(i), "value"});
  int not_sent = 0;
  for (int i = 0; i < kMaxRounds && not_sent == 0; ++i) {
    upstream_.SetAnswer({test::MakeAnswerHead() + "Content-Length: 0\r\n\r\n",
                         test::stream_ending::kReset, milliseconds(i % kPauses)});
    runtime_.Run(0, [&] {
      // The first request leaves a connection behind, on which the second one is sent.
      for (int sent = 0; sent < 2; ++sent) {
        const http_result result =
            client_.Send(upstream_.address(), request, steady_clock::now() + kTimeout);
        not_sent += result.stage == exchange_stage::kNotSent;
      }
    });
  }
  EXPECT_GT(not_sent, 0);
}

// Guards against a truncated message that counts as a whole one.
TEST_F(broken_answers_test, TruncatedMessagesAreNoAnswers) {
  ExpectNoAnswers(test::MakeExchanges(test::MakeTruncatedAnswers()));
}

// Guards against a status that HTTP doesn't have: it was taken for an interim answer, and the
// request waited for the next one until its deadline.
TEST_F(broken_answers_test, ForbiddenStatusesAreNoAnswers) {
  ExpectNoAnswers(test::MakeExchanges(test::MakeForbiddenStatuses()));
}

// Guards against a line of a head that another implementation may read differently.
TEST_F(broken_answers_test, MalformedFieldsAreNoAnswers) {
  ExpectNoAnswers(test::MakeExchanges(test::MakeMalformedFields()));
}

// Guards against a body that is not the one of the upstream because its length is unclear.
TEST_F(broken_answers_test, MalformedFramingsAreNoAnswers) {
  ExpectNoAnswers(test::MakeExchanges(test::MakeMalformedFramings()));
}

// Guards against checks of answers that reject valid ones.
TEST_F(broken_answers_test, ValidAnswersAreReceivedWhole) {
  for (const exchange_sample& exchange : test::MakeExchanges(test::MakeValidAnswers())) {
    const http_result result = SendScripted(exchange);
    EXPECT_EQ(result.stage, exchange_stage::kAnswered)
        << exchange.description << ": " << result.error;
    if (result.response.status == 200) {
      EXPECT_EQ(result.response.body, test::kSampleBody) << exchange.description;
    }
  }
}

// Guards against a whole answer without a length that counts as broken because its server closes
// the connection in order while the request is still being written.
TEST_F(broken_answers_test, EndInOrderDuringALongUploadCompletesTheAnswer) {
  constexpr int kRepetitions = 6;
  for (int i = 0; i < kRepetitions; ++i) {
    for (const exchange_sample& exchange : test::MakeEndsDuringUploads()) {
      const http_result result = SendScripted(exchange);
      EXPECT_EQ(result.stage, exchange_stage::kAnswered)
          << exchange.description << ": " << result.error;
      EXPECT_EQ(result.response.body, test::kSampleBody) << exchange.description;
    }
  }
}

// Guards against trailers that count as fields of the head, on which nodes act: one could turn an
// answer of an upstream that has run the request into a refusal, or state another id.
TEST_F(broken_answers_test, TrailersAreNoFieldsOfTheHead) {
  upstream_.SetAnswer({test::MakeAnswerHead() +
                       "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
                       "Not-Run: 1\r\nRequest-Id: other\r\nConnection: close\r\n\r\n"});
  for (int i = 0; i < 2; ++i) {
    const http_result result = Send("/scripted");
    ASSERT_EQ(result.stage, exchange_stage::kAnswered) << result.error;
    EXPECT_EQ(result.response.body, "a");
    EXPECT_EQ(FindField(result.response.fields, "Not-Run"), "");
    EXPECT_EQ(std::count_if(result.response.fields.begin(), result.response.fields.end(),
                            [](const http_field& field) { return field.name == "Request-Id"; }),
              1);
  }
  EXPECT_EQ(upstream_.scripted_on_reused(), 1);
}

}  // namespace
}  // namespace siskinrack::net
