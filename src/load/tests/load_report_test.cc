#include "load/load_report.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

using nlohmann::json;

RequestEnd Answered(const std::string& token) {
  RequestEnd end;
  end.group = "callers";
  end.token = token;
  end.ok = true;
  return end;
}

RequestEnd Failed(const std::string& token) {
  RequestEnd end = Answered(token);
  end.ok = false;
  end.error = "queue_full";
  end.first_failed = {token + "-0", "target_broken", Verdict::kMayHaveRun};
  end.last_failed = {token + "-1", "queue_full", Verdict::kNotRun};
  return end;
}

// Guards against a report from which only the error of the last try is known.
TEST_CASE("a failed request is told by its first and its last try") {
  LoadReport report;
  report.Add(Answered("t-0"));
  report.Add(Failed("t-1"));
  const json failed = report.ToJson().at("failed");
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].at("token") == "t-1");
  CHECK(failed[0].at("error") == "queue_full/not_run");
  CHECK(failed[0].at("first") ==
        json({{"request", "t-1-0"}, {"error", "target_broken/may_have_run"}}));
  CHECK(failed[0].at("last") ==
        json({{"request", "t-1-1"}, {"error", "queue_full/not_run"}}));
}

TEST_CASE("a request that found no entry is told without tries") {
  LoadReport report;
  RequestEnd end = Failed("t-0");
  end.first_failed.reset();
  end.last_failed.reset();
  report.Add(end);
  CHECK_FALSE(report.ToJson().at("failed")[0].contains("first"));
}

TEST_CASE("the list of failed requests is bounded, their count is not") {
  LoadReport report;
  for (int i = 0; i < 1000; ++i) {
    report.Add(Failed("t-" + std::to_string(i)));
  }
  const json written = report.ToJson();
  CHECK(written.at("failed").size() < 100);
  CHECK(written.at("all").at("sent") == 1000);
  CHECK(written.at("all").at("ok") == 0);
}

}  // namespace
}  // namespace redwing
