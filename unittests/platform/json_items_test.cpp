#include "siskinrack/platform/json_items.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <random>

namespace siskinrack::platform {
namespace {

TEST(JsonItems, ArrayIsSplitIntoItsElements) {
  const auto items = SplitJsonArray(R"( [ {"a":[1,{"b":"],}"}]} , "x,\"]y" ,3,[],{} ] )");
  ASSERT_TRUE(items);
  const std::vector<std::string_view> expected{R"({"a":[1,{"b":"],}"}]})", R"("x,\"]y")", "3", "[]",
                                               "{}"};
  EXPECT_EQ(*items, expected);
  EXPECT_TRUE(SplitJsonArray("[]")->empty());
}

TEST(JsonItems, ObjectIsSplitIntoItsMembers) {
  const auto members = SplitJsonObject(R"({"a" : {"b":1}, "c":"}", "a":2})");
  ASSERT_TRUE(members);
  ASSERT_EQ(members->size(), 3U);
  EXPECT_EQ(FindJsonMember(*members, "a"), R"({"b":1})");
  EXPECT_EQ(FindJsonMember(*members, "c"), R"("}")");
  EXPECT_EQ(FindJsonMember(*members, "d"), std::nullopt);
}

// Guards against reading beyond the end of a text that is cut off, and against accepting it.
TEST(JsonItems, IncompleteTextIsNotSplit) {
  const std::string array = R"(["a\"",{"b":[1]},2])";
  for (std::size_t size = 0; size < array.size(); ++size) {
    EXPECT_FALSE(SplitJsonArray(array.substr(0, size))) << array.substr(0, size);
  }
  for (const char* text : {"[1,]", "[,1]", "[1]]", "[1] 2", "[1}2]", "{}", "", "1"}) {
    EXPECT_FALSE(SplitJsonArray(text)) << text;
  }
  for (const char* text : {R"({"a"})", R"({"a":})", R"({a:1})", R"({"a":1,})", "[]", R"({"a\)"}) {
    EXPECT_FALSE(SplitJsonObject(text)) << text;
  }
}

// Guards against a stack overflow, which ends the process, by a value of another writer.
TEST(JsonItems, DepthAndLengthAreBounded) {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  ASSERT_EQ(SplitJsonArray('[' + deep + ",1]")->size(), 2U);
  std::string problem;
  EXPECT_FALSE(DecodeJson(deep, {}, problem));
  EXPECT_FALSE(problem.empty());
  problem.clear();
  EXPECT_FALSE(DecodeJson(R"("long")", {.bytes = 5}, problem));
  EXPECT_FALSE(problem.empty());
  problem.clear();
  EXPECT_TRUE(DecodeJson("[[1]]", {.depth = 2}, problem)) << problem;
  EXPECT_FALSE(DecodeJson("[[[1]]]", {.depth = 2}, problem));
}

// Guards against a splitter that disagrees with the parser about where an element ends: whatever
// the parser accepts as an array must be split into the same elements.
TEST(JsonItems, SplitAgreesWithTheParserOnRandomTexts) {
  constexpr std::string_view kCharacters = "[]{},:\"\\ 1a\xff";
  constexpr int kTexts = 200'000;
  std::mt19937 random(20261206);
  std::uniform_int_distribution<std::size_t> length(0, 12);
  std::uniform_int_distribution<std::size_t> character(0, kCharacters.size() - 1);
  int accepted = 0;
  for (int i = 0; i < kTexts; ++i) {
    std::string text = "[";
    for (std::size_t left = length(random); left > 0; --left)
      text += kCharacters[character(random)];
    text += ']';
    const auto items = SplitJsonArray(text);
    boost::json::error_code error;
    const auto parsed = boost::json::parse(text, error);
    if (error) continue;
    ++accepted;
    ASSERT_TRUE(items) << text;
    ASSERT_EQ(items->size(), parsed.as_array().size()) << text;
    for (std::size_t k = 0; k < items->size(); ++k) {
      std::string problem;
      EXPECT_EQ(DecodeJson((*items)[k], {}, problem), parsed.as_array()[k]) << text;
    }
  }
  EXPECT_GT(accepted, 1'000);
}

}  // namespace
}  // namespace siskinrack::platform
