#include <catch2/catch.hpp>

#include <string>

#include "platform/json_splitter.h"

namespace poplarsail::platform {
namespace {

std::vector<std::string> TextsOf(const std::vector<JsonText>& values) {
  std::vector<std::string> texts;
  for (const JsonText& value : values) {
    texts.emplace_back(value.text);
  }
  return texts;
}

TEST_CASE("An array is split at its outermost level") {
  CHECK(TextsOf(SplitArray(R"( [1, "a,]b" ,{"c":[2,3]}, [] ] )")) ==
        std::vector<std::string>{"1", R"("a,]b")", R"({"c":[2,3]})", "[]"});
  CHECK(SplitArray(" [ ] ").empty());
}

TEST_CASE("An object is split at its outermost level") {
  const auto members =
      SplitObject(R"({"a" : "x\"y", "b,:":{"a":{}} ,"c":[[1]]})");
  REQUIRE(members.size() == 3);
  CHECK(members[0] == JsonMember{"a", {R"("x\"y")", 0}});
  CHECK(members[1] == JsonMember{"b,:", {R"({"a":{}})", 2}});
  CHECK(members[2] == JsonMember{"c", {"[[1]]", 2}});
  CHECK(FindMember(members, "c").depth == 2);
  CHECK(FindMember(members, "d").text.empty());
  CHECK(SplitObject("{}").empty());
}

TEST_CASE("Values that no parser accepts are separated from their neighbours") {
  const std::string bytes = "\"\xff\xc0\x01\\ud83d\"";
  CHECK(TextsOf(SplitArray("[1," + bytes + ",1e999,NaN,a b,2]")) ==
        std::vector<std::string>{"1", bytes, "1e999", "NaN", "a b", "2"});
  CHECK(TextsOf(SplitArray("[[},{],3]")) ==
        std::vector<std::string>{"[}", "{]", "3"});
}

TEST_CASE("A text whose brackets or quotes do not match is not split") {
  const std::string text =
      GENERATE(as<std::string>(), "", "1", "[", "[1", "[\"]", "[[]", "[1]]",
               "[1],[2]", "[\"a\\\"]", "{]");
  CAPTURE(text);
  CHECK_THROWS_AS(SplitArray(text), JsonStructureError);
}

TEST_CASE("An object whose members have no key or value is not split") {
  const std::string text = GENERATE(as<std::string>(), "{1}", "{\"a\"}",
                                    "{\"a\" 1}", "{,}", "{\"a\":1,}");
  CAPTURE(text);
  CHECK_THROWS_AS(SplitObject(text), JsonStructureError);
}

TEST_CASE("Depth is measured without recursion") {
  constexpr size_t kDepth = 1'000'000;
  const std::string nested =
      "[" + std::string(kDepth, '[') + std::string(kDepth, ']') + "]";
  CHECK(SplitArray(nested).at(0).depth == kDepth);
}

}  // namespace
}  // namespace poplarsail::platform
