#include "framework/settings/object_reader.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

std::string ProblemsOf(std::string_view text) {
  const Result<JsonSource> source = JsonSource::Parse(text, "f.json");
  if (!source) {
    return source.error().detail;
  }
  Problems problems(source.value());
  ObjectReader reader(source.value().root(), "", problems);
  reader.String("instance");
  reader.Integer("slots", 1, 10);
  reader.Endpoint("listen", "127.0.0.1:1");
  reader.Objects("items", [](ObjectReader& item) { item.String("name"); });
  reader.Finish();
  return problems.Text();
}

TEST_CASE("problems name line, path, what was expected and the nearest name") {
  CHECK(ProblemsOf("{\"instance\": \"a\", \"slots\": 3}").empty());
  CHECK(ProblemsOf("{// comment\n\"instance\": \"a\",\n\"slotz\": 3}") ==
        "f.json:1: /: \"slots\" is missing\n"
        "f.json:3: /slotz: unknown name; the nearest valid name is \"slots\"");
  CHECK(ProblemsOf("{\"instance\": 1,\n\"slots\": 11}") ==
        "f.json:1: /instance: expected a string that is not empty, found 1\n"
        "f.json:2: /slots: expected a whole number from 1 to 10, found 11");
  CHECK(ProblemsOf("{\"instance\": \"a\", \"slots\": 1,\n\"items\": [\n{},\n"
                   "{\"name\": \"x\"}]}") ==
        "f.json:3: /items/0: \"name\" is missing");
  CHECK(ProblemsOf("{\"instance\":\"a\",\"slots\":1,\"listen\":\"host:1\"}")
            .find("expected an address") != std::string::npos);
}

// Guards against an exception instead of a problem.
TEST_CASE("names with characters of JSON pointers are escaped in paths") {
  const JsonSource source =
      JsonSource::Parse("{\"named\": {\n\"a~b/c\": {\"x\": 1}}}", "f.json")
          .value();
  Problems problems(source);
  ObjectReader reader(source.root(), "", problems);
  reader.NamedObjects("named",
                      [](const std::string& /*name*/, ObjectReader& item) {
                        item.Integer("x", 2, 3);
                      });
  CHECK(problems.Text() ==
        "f.json:2: /named/a~0b~1c/x: expected a whole number from 2 to 3, "
        "found 1");
}

TEST_CASE("texts that are not JSON, too deep or with a name twice fail") {
  CHECK(ProblemsOf("{\"a\": ").find("f.json: ") == 0);
  CHECK(ProblemsOf("{\"a\": 1,\n\"a\": 2}") ==
        "f.json: line 2: name \"a\" is given twice");
  CHECK(ProblemsOf(std::string(100, '[')).find("nested deeper") !=
        std::string::npos);
}

}  // namespace
}  // namespace redwing
