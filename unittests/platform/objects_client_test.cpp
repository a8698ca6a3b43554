#include "objects_client.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>

#include "scripted_upstream.h"
#include "siskinrack/net/http_server.h"

namespace siskinrack::platform_adapter {
namespace {

constexpr std::size_t kDeeperThanDecoded = 40;

/// Serves fixed bodies by target.
class fake_store {
 public:
  fake_store() { EXPECT_EQ(server_.Start(), ""); }
  ~fake_store() { server_.Stop(); }
  fake_store(const fake_store&) = delete;
  fake_store& operator=(const fake_store&) = delete;

  void Serve(const std::string& target, std::string body) { bodies_[target] = std::move(body); }
  [[nodiscard]] support::socket_address address() const { return {"127.0.0.1", server_.port()}; }

 private:
  std::map<std::string, std::string> bodies_;
  net::fiber_runtime runtime_{1};
  net::http_server server_{runtime_,
                           {.address = {"127.0.0.1", 0}},
                           [this](const net::http_request& request, net::cancellation&) {
                             const auto found = bodies_.find(request.target);
                             return found == bodies_.end()
                                        ? net::http_response{404, {}, "{}"}
                                        : net::http_response{200, {}, found->second};
                           }};
};

std::string MakeObject(const std::string& name, const std::string& content, int revision = 7) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
         R"(,"deleting":false},"spec":)" + content + R"(,"status":null})";
}

std::string MakeEvent(const std::string& object, bool deleted = false) {
  return R"({"object":)" + object + R"(,"deleted":)" + (deleted ? "true" : "false") + '}';
}

std::string Join(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) text += (text.empty() ? "" : ",") + item;
  return text;
}

std::string MakePage(const std::vector<std::string>& items, bool has_more = false) {
  return R"({"items":[)" + Join(items) + R"(],"hasMore":)" + (has_more ? "true" : "false") +
         R"(,"currentRev":9})";
}

/// Contents that another writer may have stored and that can't be decoded.
std::vector<std::string> MakeUnreadableContents() {
  return {std::string(kDeeperThanDecoded, '[') + std::string(kDeeperThanDecoded, ']'),
          "\"\xff\xfe\"",
          R"("\ud800")",
          "nul",
          "{]",
          '"' + std::string(5'000'000, 'x') + '"'};
}

class objects_client_test : public testing::Test {
 protected:
  template <typename Call>
  auto Run(Call call) {
    decltype(call()) result;
    runtime_.Run(0, [&] { result = call(); });
    return result;
  }
  store_result<object_listing> List() {
    return Run([this] { return client_.List("kind", read_freshness::kCurrent); });
  }

  fake_store store_;
  net::fiber_runtime runtime_{1};
  objects_client client_{runtime_, store_.address()};
};

// Guards against one object that can't be decoded and hides all others of its kind: after a restart
// no node became ready.
TEST_F(objects_client_test, ListLeavesOutOnlyTheContentsThatCannotBeDecoded) {
  std::vector<std::string> items{MakeObject("first", "1")};
  int number = 0;
  for (const std::string& content : MakeUnreadableContents()) {
    items.push_back(MakeObject("bad-" + std::to_string(number++), content));
  }
  items.push_back(MakeObject("last", R"({"a":[2]})"));
  store_.Serve("/api/objects/kind", MakePage(items));
  const auto result = List();
  ASSERT_TRUE(std::holds_alternative<object_listing>(result))
      << std::get<store_error>(result).message;
  const auto& listing = std::get<object_listing>(result);
  EXPECT_EQ(listing.revision, 9U);
  EXPECT_TRUE(listing.unnamed.empty());
  ASSERT_EQ(listing.objects.size(), items.size());
  for (std::size_t i = 1; i + 1 < items.size(); ++i) {
    EXPECT_TRUE(listing.objects[i].content.is_null()) << i;
    EXPECT_FALSE(listing.objects[i].problem.empty()) << i;
    EXPECT_EQ(listing.objects[i].revision, 7U);
  }
  EXPECT_EQ(listing.objects.front().content, 1);
  EXPECT_EQ(listing.objects.back().name, "last");
  EXPECT_EQ(listing.objects.back().content, boost::json::parse(R"({"a":[2]})"));
}

// Guards against an object without a readable name that hides the others, also those on the next
// page, which is requested by a name.
TEST_F(objects_client_test, ListLeavesOutObjectsWithoutAName) {
  const std::vector<std::string> unnamed{
      "7", R"({"metadata":{"name":7,"revision":1},"spec":1})", R"({"spec":1})",
      R"({"metadata":{"name":"x","revision":"1"}})", "{\"metadata\":{\"name\":\"\xff\"}}"};
  std::vector<std::string> first = unnamed;
  first.insert(first.begin(), MakeObject("a", "1"));
  store_.Serve("/api/objects/kind", MakePage(first, /*has_more=*/true));
  store_.Serve("/api/objects/kind?after=a", MakePage({MakeObject("b", "2")}));
  const auto result = List();
  ASSERT_TRUE(std::holds_alternative<object_listing>(result))
      << std::get<store_error>(result).message;
  EXPECT_EQ(std::get<object_listing>(result).objects.size(), 2U);
  EXPECT_EQ(std::get<object_listing>(result).unnamed.size(), unnamed.size());
}

// Guards against an object whose metadata can't be decoded as a whole: if it is alone on its page,
// the list can't go on behind it.
TEST_F(objects_client_test, DeepMetadataDoesNotHideTheName) {
  const std::string deep(100'000, '[');
  const std::string odd = R"({"metadata":{"finalizers":)" + deep + std::string(deep.size(), ']') +
                          R"(,"name":"odd name&x=1","revision":7,"deleting":false},"spec":1})";
  store_.Serve("/api/objects/kind", MakePage({odd}, /*has_more=*/true));
  store_.Serve("/api/objects/kind?after=odd%20name%26x%3D1", MakePage({MakeObject("z", "2")}));
  const auto result = List();
  ASSERT_TRUE(std::holds_alternative<object_listing>(result))
      << std::get<store_error>(result).message;
  EXPECT_EQ(std::get<object_listing>(result).objects.size(), 2U);
}

// Guards against listing the same page without end.
TEST_F(objects_client_test, PageWithoutAnyNameIsAnError) {
  store_.Serve("/api/objects/kind", MakePage({"7"}, /*has_more=*/true));
  const auto result = List();
  ASSERT_TRUE(std::holds_alternative<store_error>(result));
  EXPECT_EQ(std::get<store_error>(result).code, store_errc::kBadAnswer);
}

// Guards against a change that is lost because another one in the same answer can't be decoded, and
// against a removal that is ignored because the content of the removed object can't be.
TEST_F(objects_client_test, WatchLeavesOutOnlyTheEventsThatCannotBeDecoded) {
  const std::string deep = MakeUnreadableContents().front();
  store_.Serve("/api/objects/kind?watch=3&waitMs=10",
               R"({"events":[)" +
                   Join({MakeEvent(MakeObject("a", "1")), MakeEvent(MakeObject("b", deep)),
                         R"({"deleted":false})", R"({"object":1,"deleted":true})", deep,
                         MakeEvent(MakeObject("c", deep), /*deleted=*/true),
                         MakeEvent(MakeObject("d", "4"))}) +
                   R"(],"currentRev":12})");
  const auto result = Run([this] {
    return client_.Watch("kind", read_freshness::kCurrent, 3, std::chrono::milliseconds(10));
  });
  ASSERT_TRUE(std::holds_alternative<object_changes>(result))
      << std::get<store_error>(result).message;
  const auto& changes = std::get<object_changes>(result);
  EXPECT_EQ(changes.revision, 12U);
  EXPECT_EQ(changes.unnamed.size(), 3U);
  ASSERT_EQ(changes.events.size(), 4U);
  EXPECT_EQ(changes.events[0].object.content, 1);
  EXPECT_FALSE(changes.events[1].object.problem.empty());
  EXPECT_FALSE(changes.events[1].deleted);
  EXPECT_EQ(changes.events[2].object.name, "c");
  EXPECT_TRUE(changes.events[2].deleted);
  EXPECT_EQ(changes.events[3].object.content, 4);
}

// Guards against an unreadable object that can never be replaced, because its revision is unknown.
TEST_F(objects_client_test, SingleReadOfAnUnreadableObjectHasItsRevision) {
  store_.Serve("/api/objects/kind/a", MakeObject("a", MakeUnreadableContents().front(), 42));
  const auto result = Run([this] { return client_.Get("kind", "a"); });
  ASSERT_TRUE(std::holds_alternative<versioned_object>(result))
      << std::get<store_error>(result).message;
  EXPECT_EQ(std::get<versioned_object>(result).revision, 42U);
  EXPECT_FALSE(std::get<versioned_object>(result).problem.empty());
}

// Guards against a write that counts as acknowledged although the connection was reset while the
// object was being sent: the store may not have applied it.
TEST_F(objects_client_test, WriteWhoseConnectionIsResetHasAnUnknownOutcome) {
  constexpr std::size_t kLongValue = 4U << 20U;
  test::scripted_upstream store({"127.0.0.1", 0});
  objects_client client(runtime_, store.address());
  for (const int pause_ms : {0, 5, 60}) {
    store.SetAnswer({"HTTP/1.1 200 OK\r\n\r\n" + MakeObject("a", "1"), test::stream_ending::kReset,
                     std::chrono::milliseconds(pause_ms),
                     /*early=*/true});
    const auto result =
        Run([&] { return client.Create("scripted", "a", std::string(kLongValue, 'x').c_str()); });
    ASSERT_TRUE(std::holds_alternative<store_error>(result));
    EXPECT_EQ(std::get<store_error>(result).code, store_errc::kOutcomeUnknown)
        << std::get<store_error>(result).message;
  }
}

}  // namespace
}  // namespace siskinrack::platform_adapter
