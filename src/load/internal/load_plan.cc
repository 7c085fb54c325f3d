#include "load/load_plan.h"

#include "framework/settings/endpoint.h"
#include "framework/settings/object_reader.h"

namespace redwing {

namespace {

constexpr int64_t kMaxMs = 86'400'000;
constexpr int64_t kMaxBytes = 1LL << 30;

LoadRequest ReadRequest(ObjectReader& reader) {
  LoadRequest request;
  request.service = reader.String("service");
  request.method = reader.String("method", "GET");
  request.path = reader.String("path");
  request.weight = reader.Number("weight", 0, 1e6, 1);
  request.body_bytes =
      static_cast<size_t>(reader.Integer("body_bytes", 0, kMaxBytes, 0));
  request.response_bytes =
      static_cast<size_t>(reader.Integer("response_bytes", 0, kMaxBytes, 0));
  request.keyed = reader.Boolean("keyed", false);
  request.once = reader.Boolean("once", request.keyed);
  return request;
}

CallerGroup ReadGroup(ObjectReader& reader, Milliseconds duration) {
  CallerGroup group;
  group.name = reader.String("name");
  group.key = reader.String("key", "");
  group.region = reader.String("region", "");
  group.rate = reader.Number("rate_per_s", 0.001, 1e6);
  group.callers = static_cast<int>(reader.Integer("callers", 1, 10'000, 8));
  group.from = Milliseconds(reader.Integer("from_ms", 0, kMaxMs, 0));
  group.until =
      Milliseconds(reader.Integer("until_ms", 0, kMaxMs, duration.count()));
  reader.Objects("requests", [&group](ObjectReader& item) {
    group.requests.push_back(ReadRequest(item));
  });
  if (group.requests.empty()) {
    reader.Reject("requests", "expected at least one kind of request");
  }
  return group;
}

}  // namespace

Result<LoadPlan> LoadPlan::Load(const std::string& path) {
  const Result<JsonSource> source = JsonSource::Load(path);
  if (!source) {
    return source.error();
  }
  Problems problems(source.value());
  ObjectReader reader(source.value().root(), "", problems);
  LoadPlan plan;
  plan.seed = static_cast<uint64_t>(reader.Integer("seed", 0, INT64_MAX, 1));
  plan.duration = Milliseconds(reader.Integer("duration_ms", 1, kMaxMs));
  plan.entries = reader.Strings("entries");
  plan.direct = reader.Boolean("direct", false);
  plan.timeout = Milliseconds(reader.Integer("timeout_ms", 1, kMaxMs, 10'000));
  plan.max_tries = static_cast<int>(reader.Integer("max_tries", 1, 100, 4));
  plan.runs_from = reader.Endpoint("runs_from", "");
  reader.Objects("groups", [&plan](ObjectReader& item) {
    plan.groups.push_back(ReadGroup(item, plan.duration));
  });
  for (const std::string& entry : plan.entries) {
    if (!ParseEndpoint(entry)) {
      reader.Reject("entries", "expected addresses");
    }
  }
  if (plan.entries.empty()) {
    reader.Reject("entries", "expected at least one address");
  }
  reader.Finish();
  if (!problems.empty()) {
    return NotRun(Errc::kInvalidSettings, problems.Text());
  }
  return plan;
}

}  // namespace redwing
