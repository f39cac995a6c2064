#include "Json/object_reader.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

std::vector<json_error> ErrorsOf(const std::string& text) {
  std::vector<json_error> errors;
  ParseDocument(text, &errors);
  return errors;
}

TEST_CASE("invalid documents are rejected") {
  SECTION("malformed text: the error names the first invalid byte") {
    CHECK(ErrorsOf("{\"a\": }").at(0).reason == "is not valid JSON at byte 7");
  }
  SECTION("a duplicate key within an object") {
    CHECK(ErrorsOf(R"({"a": [{"b": 1, "b": 2}]})").at(0).path == "b");
  }
  SECTION("too many levels of nesting") {
    CHECK(ErrorsOf(std::string(100'000, '[')).size() == 1);
    CHECK(ErrorsOf(std::string(20, '[') + std::string(20, ']')).at(0).reason ==
          "is nested deeper than 16");
  }
  SECTION("random bytes give either a document or an error") {
    rc::prop("bytes", [](const std::string& bytes) {
      std::vector<json_error> errors;
      const bool parsed = ParseDocument(bytes, &errors).has_value();
      RC_ASSERT(parsed == errors.empty());
    });
  }
}

TEST_CASE("every error within an object is reported with its path") {
  std::vector<json_error> errors;
  const auto document = ParseDocument(
      R"({"text": 1, "line": "a\nb", "number": -1, "list": {}, "more": 0})",
      &errors);
  REQUIRE(document);
  object_reader reader(*document, "top", &errors);
  reader.ReadString("text", 8);
  reader.ReadString("line", 8);
  reader.ReadUnsigned("number", {0, 5});
  reader.ReadArray("list");
  reader.ReadBool("flag");
  reader.ReportUnknownKeys();
  std::vector<std::string> paths;
  paths.reserve(errors.size());
  for (const json_error& error : errors) paths.push_back(error.path);
  CHECK(paths == std::vector<std::string>{"top.text", "top.line", "top.number",
                                          "top.list", "top.flag", "top.more"});
}

}  // namespace
}  // namespace lavendertack
