#include "steering/steering_document.h"

#include <catch2/catch.hpp>

#include "steering/section_parser.h"
#include "steering/usable_section.h"

namespace redwing {
namespace {

std::vector<Section> Parse(const std::string& text) {
  const Result<JsonSource> source = JsonSource::Parse(text, "doc");
  REQUIRE(source);
  const Result<std::vector<Section>> sections = ParseSections(source.value());
  REQUIRE(sections);
  return sections.value();
}

constexpr const char* kNetwork = R"("net": {"team": "n", "regions": [
  {"name": "r", "failure_domains": ["d"], "rate_per_s": 1, "burst": 1}]})";

TEST_CASE("the examples are valid") {
  for (const char* name : {"registry.json", "rempah.json"}) {
    const Result<JsonSource> source =
        JsonSource::Load(std::string(REDWING_EXAMPLES_DIR) + "/" + name);
    REQUIRE(source);
    const Result<std::vector<Section>> sections = ParseSections(source.value());
    REQUIRE(sections);
    CHECK(FindDocumentProblems(sections.value()).empty());
  }
}

TEST_CASE("client blocks lead to regions that exist, each block once") {
  const std::vector<Section> sections =
      Parse(std::string("{\"sections\": {") + kNetwork + R"(,
    "map": {"team": "m", "clients": [
      {"block": "10.0.0.0/8", "region": "r"},
      {"block": "2001:db8::/32", "region": "q"},
      {"block": "10.0.0.0/8", "region": "r"}]}}})");
  CHECK(SteeringDocument(sections).clients().Find(
            boost::asio::ip::make_address("10.1.2.3")) == "r");
  CHECK(FindDocumentProblems(sections).size() == 2);
  for (const char* block : {"10.0.0.1/8", "10.0.0.0", "ten", "10.0.0.0/33"}) {
    const Result<Section> section = ParseSection(
        "map", std::string(R"({"team": "m", "clients": [{"block": ")") + block +
                   R"(", "region": "r"}]})");
    CAPTURE(block);
    CHECK_FALSE(section);
  }
}

TEST_CASE("dangling references and names defined twice are found") {
  const std::vector<std::string> problems = FindDocumentProblems(
      Parse(std::string("{\"sections\": {") + kNetwork + R"(,
    "svc": {"team": "s", "services": [{"name": "s", "routes": [
        {"name": "a", "methods": ["GET"], "path_prefix": "/"}],
      "targets": [{"name": "t", "address": "1.2.3.4:5", "region": "r",
                   "failure_domain": "x", "slots": 1}]}]},
    "ws": {"team": "w", "links": [{"from": "r", "to": "q",
                                   "cap_mbit_per_s": 1}],
      "workspaces": [
        {"name": "w", "rate_per_s": 1, "burst": 1, "may_call": ["s/b"]},
        {"name": "w", "rate_per_s": 1, "burst": 1, "may_call": ["s"]}]}}})"));
  REQUIRE(problems.size() == 4);
  CHECK(problems[0].find("failure domain \"x\"") != std::string::npos);
  CHECK(problems[1].find("region \"q\" does not exist") != std::string::npos);
  CHECK(problems[2].find("\"s/b\", which does not exist") != std::string::npos);
  CHECK(problems[3].find("is defined twice") != std::string::npos);
}

TEST_CASE("routes match whole path segments, the longest prefix first") {
  Service service;
  service.routes = {{"all", {"GET"}, "/", false, true, 0, 0, {}},
                    {"tags", {"GET"}, "/tags", false, true, 0, 0, {}},
                    {"write", {"POST"}, "/tags/new", false, false, 0, 0, {}}};
  bool known = false;
  CHECK(service.FindRoute("GET", "/tags/1", &known)->name == "tags");
  CHECK(service.FindRoute("GET", "/tagsx", &known)->name == "all");
  CHECK(service.FindRoute("POST", "/tags/new", &known)->name == "write");
  CHECK(service.FindRoute("PUT", "/tags", &known) == nullptr);
  CHECK(known);
}

constexpr std::string_view kHostRoutes = R"({"sections": {"n": {"team": "t",
  "regions": [{"name": "r", "failure_domains": ["d"], "rate_per_s": 0,
    "burst": 0}],
  "services": [{"name": "a", "discovered": true},
               {"name": "b", "discovered": true}],
  "host_routes": [
    {"name": "all", "host": "Shop.example", "path_prefix": "/",
     "services": [{"service": "a"}]},
    {"name": "split", "host": "shop.example", "path_prefix": "/x/",
     "services": [{"service": "a", "weight": 90},
                  {"service": "b", "weight": 10}]}]}}})";

Result<std::vector<Section>> Sections(std::string_view text) {
  const Result<JsonSource> source = JsonSource::Parse(text, "test");
  REQUIRE(source);
  return ParseSections(source.value());
}

TEST_CASE("host and longest path prefix select a route") {
  const Result<std::vector<Section>> sections = Sections(kHostRoutes);
  REQUIRE(sections);
  CHECK(FindDocumentProblems(sections.value()).empty());
  const SteeringDocument document(sections.value());
  CHECK(document.FindHostRoute("SHOP.example", "/x/1")->route.name == "split");
  CHECK(document.FindHostRoute("shop.example", "/x")->route.name == "all");
  CHECK(document.FindHostRoute("shop.example", "/xy/")->route.name == "all");
  CHECK(document.FindHostRoute("other.example", "/") == nullptr);
  CHECK(document.FindHostRouteByName("split") != nullptr);
}

TEST_CASE("a split follows its weights") {
  const Result<std::vector<Section>> sections = Sections(kHostRoutes);
  REQUIRE(sections);
  const HostRoute& split = sections.value()[0].host_routes[1];
  constexpr int kDraws = 1000;
  int to_b = 0;
  for (int i = 0; i < kDraws; ++i) {
    to_b += split.ServiceAt((i + 0.5) / kDraws) == "b" ? 1 : 0;
  }
  CHECK(to_b == 100);
  CHECK(split.ServiceAt(1) == "b");
}

TEST_CASE("routes to services that do not exist are a problem") {
  std::string text(kHostRoutes);
  text.replace(text.find("\"service\": \"b\""), 14, "\"service\": \"c\"");
  const Result<std::vector<Section>> sections = Sections(text);
  REQUIRE(sections);
  CHECK_FALSE(FindDocumentProblems(sections.value()).empty());
}

TEST_CASE("discovered targets join the services that ask for them") {
  const Result<std::vector<Section>> sections = Sections(kHostRoutes);
  REQUIRE(sections);
  const SteeringDocument document(sections.value());
  Target target;
  target.name = "i-1";
  const SteeringDocument joined =
      document.WithTargets({{"a", {target}}, {"unknown", {target}}});
  CHECK(joined.FindService("a")->targets.size() == 1);
  CHECK(joined.FindService("b")->targets.empty());
  CHECK(joined.FindService("unknown") == nullptr);
}

TEST_CASE("invalid parts of a stored section are left out, not the others") {
  const std::string body = R"({"team": "t", "caller_limits": {
      "header_bytes": 1, "body_bytes": 5}, "links": 7, "workspaces": [
      {"name": "a", "rate_per_s": 1, "burst": 1},
      {"name": "b c", "rate_per_s": 1, "burst": 1},
      {"name": "Acme_Foods.2", "rate_per_s": 2, "burst": 1}, 5]})";
  CHECK_FALSE(ParseSection("s", body));
  const Result<UsableSection> usable = ParseUsableSection("s", body);
  REQUIRE(usable);
  CHECK(usable.value().problems.size() == 4);
  const Section& section = usable.value().section;
  REQUIRE(section.workspaces.size() == 2);
  CHECK(section.workspaces[1].name == "Acme_Foods.2");
  REQUIRE(section.caller_limits);
  CHECK(section.caller_limits->body_bytes == 5);
  CHECK(section.caller_limits->header_bytes == CallerLimits().header_bytes);
  CHECK_FALSE(ParseUsableSection(
      "s", R"({"team": "t", "host_routes": [{"name": "a"}]})"));
  CHECK_FALSE(ParseUsableSection("s", "[]"));
  CHECK_FALSE(ParseUsableSection("s", R"({"workspaces": []})"));
  CHECK_FALSE(ParseUsableSection("s", "{"));
}

}  // namespace
}  // namespace redwing
