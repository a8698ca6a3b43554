#include "siskinrack/platform/http_object_store.h"

#include <gtest/gtest.h>

#include "scripted_upstream.h"
#include "siskinrack/net/http_server.h"

namespace siskinrack::platform {
namespace {

// Guards against one object that can't be decoded and hides all others, in a list and in a watch.
TEST(HttpObjectStore, ObjectsThatCannotBeDecodedAreLeftOutAlone) {
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  const std::string objects = R"([{"name":"a","version":1,"value":"x"},{"name":"b","version":2,)"
                              R"("value":)" +
                              deep + R"(},7,{"name":7,"version":1,"value":"x"},)" +
                              "{\"name\":\"\xff\",\"version\":1,\"value\":\"\"}," +
                              R"({"name":"c","version":"1","value":""},)" +
                              R"({"name":"d","version":4,"value":"y"}])";
  net::fiber_runtime runtime(1);
  net::http_server server(
      runtime, {.address = {"127.0.0.1", 0}}, [&](const net::http_request&, net::cancellation&) {
        return net::http_response{200, {}, R"({"revision":9,"objects":)" + objects + '}'};
      });
  ASSERT_EQ(server.Start(), "");
  int reported = 0;
  http_object_store store(runtime, {.address = {"127.0.0.1", server.port()},
                                    .on_unreadable = [&](std::string_view problem) {
                                      EXPECT_FALSE(problem.empty());
                                      ++reported;
                                    }});
  store_result<std::vector<stored_object>> listed;
  store_result<watch_result> watched;
  runtime.Run(0, [&] {
    listed = store.List("p");
    watched = store.Watch("p", 1, std::chrono::milliseconds(1));
  });
  server.Stop();
  ASSERT_TRUE(std::holds_alternative<std::vector<stored_object>>(listed));
  ASSERT_TRUE(std::holds_alternative<watch_result>(watched));
  EXPECT_EQ(std::get<watch_result>(watched).revision, 9U);
  for (const auto& found :
       {std::get<std::vector<stored_object>>(listed), std::get<watch_result>(watched).changed}) {
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].name, "a");
    EXPECT_EQ(found[1].name, "d");
    EXPECT_EQ(found[1].version, 4U);
  }
  EXPECT_EQ(reported, 10);
  EXPECT_EQ(store.unreadable(), 10U);
}

// Guards against a write that counts as acknowledged although the connection was reset while the
// object was being sent: the store may not have applied it.
TEST(HttpObjectStore, WriteWhoseConnectionIsResetHasAnUnknownOutcome) {
  constexpr std::size_t kLongValue = 4U << 20U;
  net::fiber_runtime runtime(1);
  test::scripted_upstream platform({"127.0.0.1", 0});
  for (const int pause_ms : {0, 5, 60}) {
    for (int i = 0; i < 6; ++i) {
      platform.SetAnswer({"HTTP/1.1 200 OK\r\nETag: \"5\"\r\n\r\n", test::stream_ending::kReset,
                          std::chrono::milliseconds(pause_ms), /*early=*/true});
      // The call budget of a store would delay the calls that follow a failure.
      http_object_store store(runtime, {.address = platform.address()});
      store_result<std::uint64_t> written;
      runtime.Run(0, [&] { written = store.Put("scripted", std::string(kLongValue, 'x'), 4); });
      ASSERT_TRUE(std::holds_alternative<store_error>(written)) << pause_ms << " ms";
      EXPECT_EQ(std::get<store_error>(written).code, store_errc::kOutcomeUnknown);
    }
  }
}

}  // namespace
}  // namespace siskinrack::platform
