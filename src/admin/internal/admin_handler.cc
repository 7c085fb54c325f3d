#include "admin/internal/admin_handler.h"

#include <fmt/format.h>

#include <algorithm>

#include "admin/internal/edit_checks.h"
#include "config/drains.h"
#include "config/key_shard.h"
#include "config/state_entry.h"
#include "framework/http/http_exchange.h"
#include "framework/http/refusal.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/json_source.h"
#include "framework/wire/json_text.h"
#include "keys/api_key.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr std::string_view kApiPrefix = "/v1/";
constexpr std::string_view kAny = "*";
constexpr std::string_view kDrainSection = "drains";
constexpr std::string_view kKeySection = "keys";
constexpr size_t kMaxBody = 1024 * 1024;  // bytes
constexpr std::string_view kBearer = "Bearer ";

std::vector<std::string> Split(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    const size_t slash = path.find('/');
    segments.emplace_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  }
  return segments;
}

json RecordsJson(const std::vector<AuditRecord>& records) {
  json items = json::array();
  for (const AuditRecord& record : records) {
    items.push_back(record.ToJson());
  }
  return items;
}

}  // namespace

AdminHandler::AdminHandler(Metrics& metrics,
                           StateEditor editor,
                           OperatorDirectory operators,
                           FleetView fleet)
    : metrics_(metrics),
      editor_(std::move(editor)),
      operators_(std::move(operators)),
      fleet_(std::move(fleet)),
      document_(editor_, fleet_) {}

void AdminHandler::Handle(HttpExchange& exchange, const Yield& yield) {
  const std::optional<Url> url = ParseTarget(exchange.target());
  if (!url) {
    SendRefusal(exchange,
                NotRun(Errc::kMalformedRequest, "malformed request target"),
                yield);
    return;
  }
  if (HandlePlain(exchange, *url, yield)) {
    return;
  }
  const Answer answer = Dispatch(exchange, *url, yield);
  metrics_
      .Get("redwing_admin_calls_total", "Calls of operators, in calls",
           {{"outcome", answer ? "ok" : ErrcName(answer.error().errc)}})
      .Add();
  if (answer) {
    exchange.Respond(200, "application/json", JsonText(answer.value()), yield);
  } else {
    SendRefusal(exchange, answer.error(), yield);
  }
}

const std::vector<AdminHandler::Route>& AdminHandler::Routes() {
  static const std::vector<Route> routes = {
      {"GET", {"sections"}, &AdminHandler::ListSections},
      {"GET", {"sections", kAny}, &AdminHandler::GetSection},
      {"PUT", {"sections", kAny}, &AdminHandler::PutSection},
      {"POST", {"sections", kAny, "validate"}, &AdminHandler::ValidateSection},
      {"GET", {"sections", kAny, "history"}, &AdminHandler::SectionHistory},
      {"POST", {"sections", kAny, "rollback"}, &AdminHandler::RollBack},
      {"POST", {"keys"}, &AdminHandler::IssueKey},
      {"DELETE", {"keys", kAny}, &AdminHandler::WithdrawKey},
      {"GET", {"drains"}, &AdminHandler::GetDrains},
      {"POST", {"drains"}, &AdminHandler::ChangeDrains},
      {"GET", {"status"}, &AdminHandler::FleetStatus},
      {"GET", {"decisions"}, &AdminHandler::RequestDecisions},
      {"GET", {"audit"}, &AdminHandler::Audit},
      {"GET", {"audit", "verify"}, &AdminHandler::VerifyAudit},
  };
  return routes;
}

bool AdminHandler::HandlePlain(HttpExchange& exchange,
                               const Url& url,
                               const Yield& yield) {
  if (url.path == "/healthz" || url.path == "/readyz") {
    exchange.Respond(200, "application/json", R"({"status":"ok"})", yield);
    return true;
  }
  if (url.path == "/metrics") {
    exchange.Respond(200, "text/plain; version=0.0.4",
                     metrics_.PrometheusText(), yield);
    return true;
  }
  return false;
}

AdminHandler::Answer AdminHandler::Dispatch(HttpExchange& exchange,
                                            const Url& url,
                                            const Yield& yield) {
  if (url.path.compare(0, kApiPrefix.size(), kApiPrefix) != 0) {
    return NotRun(Errc::kUnknownRoute, "no such path");
  }
  const std::string_view path = url.path;
  Call call{url, "", {}, {}, {}};
  call.method = exchange.method();
  call.segments = Split(path.substr(kApiPrefix.size()));
  const auto matches = [&call](const Route& route) {
    return std::equal(route.pattern.begin(), route.pattern.end(),
                      call.segments.begin(), call.segments.end(),
                      [](std::string_view pattern, std::string_view segment) {
                        return pattern == kAny || pattern == segment;
                      });
  };
  const Route* found = nullptr;
  bool path_known = false;
  for (const Route& route : Routes()) {
    if (!matches(route)) {
      continue;
    }
    path_known = true;
    if (route.method == call.method && found == nullptr) {
      found = &route;
    }
  }
  if (found == nullptr) {
    return path_known ? NotRun(Errc::kMethodNotAllowed, "method not allowed")
                      : NotRun(Errc::kUnknownRoute, "no such path");
  }
  const std::string_view authorization = exchange.Header("Authorization");
  const std::string_view key =
      authorization.substr(0, kBearer.size()) == kBearer
          ? authorization.substr(kBearer.size())
          : "";
  Result<Operator> caller = operators_.Authenticate(key, yield);
  if (!caller) {
    return caller.error();
  }
  call.caller = std::move(caller.value());
  const Result<std::string> text = exchange.ReadWholeBody(kMaxBody, yield);
  if (!text) {
    return text.error();
  }
  if (!text.value().empty()) {
    Result<JsonSource> source = JsonSource::Parse(text.value(), "body");
    if (!source) {
      return NotRun(Errc::kMalformedRequest, source.error().detail);
    }
    call.body = source.value().root();
    if (!call.body.is_object()) {
      return NotRun(Errc::kMalformedRequest, "the body is not an object");
    }
  }
  try {
    return (this->*found->handler)(call, yield);
  } catch (const json::exception& exception) {
    return NotRun(Errc::kMalformedRequest, exception.what());
  }
}

AdminHandler::Answer AdminHandler::ListSections(const Call& /*call*/,
                                                const Yield& yield) {
  const Result<std::vector<std::string>> names = editor_.EntryNames(yield);
  if (!names) {
    return names.error();
  }
  json sections = json::array();
  for (const std::string& name : names.value()) {
    if (name.compare(0, kSectionPrefix.size(), kSectionPrefix) != 0) {
      continue;
    }
    const Result<StateView> view = editor_.Read(name, yield);
    if (!view) {
      return view.error();
    }
    sections.push_back({{"name", name.substr(kSectionPrefix.size())},
                        {"revision", view.value().revision},
                        {"team", view.value().body.value("team", "")}});
  }
  return json{{"sections", std::move(sections)}};
}

AdminHandler::Answer AdminHandler::GetSection(const Call& call,
                                              const Yield& yield) {
  const Result<StateView> view =
      editor_.Read(SectionEntryName(call.segments[1]), yield);
  if (!view) {
    return view.error();
  }
  if (view.value().revision == 0) {
    return NotRun(Errc::kNotFound, fmt::format("section \"{}\" does not exist",
                                               call.segments[1]));
  }
  return json{{"name", call.segments[1]},
              {"revision", view.value().revision},
              {"body", view.value().body}};
}

AdminHandler::Answer AdminHandler::PutSection(const Call& call,
                                              const Yield& yield) {
  if (!call.body.contains("body") || !call.body.contains("from_revision")) {
    return NotRun(Errc::kMalformedRequest,
                  "expected \"body\" and \"from_revision\"");
  }
  SectionEdit edit;
  edit.name = call.segments[1];
  edit.body = call.body.at("body");
  edit.action = "apply";
  edit.from_revision = call.body.at("from_revision");
  edit.forced = call.body.value("force", false);
  return document_.Apply(edit, call.caller, yield);
}

AdminHandler::Answer AdminHandler::ValidateSection(const Call& call,
                                                   const Yield& yield) {
  if (!call.body.contains("body")) {
    return NotRun(Errc::kMalformedRequest, "expected \"body\"");
  }
  const Result<std::vector<Section>> sections =
      document_.SectionsWith(call.segments[1], call.body.at("body"), yield);
  if (!sections) {
    return sections.error();
  }
  const Result<void> checked =
      document_.Check(sections.value(), nullptr, false, yield);
  if (!checked) {
    return checked.error();
  }
  return json{{"valid", true}};
}

AdminHandler::Answer AdminHandler::SectionHistory(const Call& call,
                                                  const Yield& yield) {
  const Result<std::vector<AuditRecord>> records =
      editor_.History(SectionEntryName(call.segments[1]), yield);
  if (!records) {
    return records.error();
  }
  return json{{"records", RecordsJson(records.value())}};
}

AdminHandler::Answer AdminHandler::RollBack(const Call& call,
                                            const Yield& yield) {
  const uint64_t to = call.body.at("to_revision");
  const Result<std::vector<AuditRecord>> records =
      editor_.History(SectionEntryName(call.segments[1]), yield);
  if (!records) {
    return records.error();
  }
  const auto record =
      std::find_if(records.value().begin(), records.value().end(),
                   [to](const AuditRecord& r) { return r.to_revision == to; });
  if (record == records.value().end()) {
    return NotRun(Errc::kNotFound,
                  fmt::format("revision {} does not exist", to));
  }
  const Result<json> body = editor_.BodyOf(*record, yield);
  if (!body) {
    return body.error();
  }
  SectionEdit edit;
  edit.name = call.segments[1];
  edit.body = body.value();
  edit.action = fmt::format("roll back to revision {}", to);
  edit.from_revision = call.body.at("from_revision");
  edit.forced = call.body.value("force", false);
  return document_.Apply(edit, call.caller, yield);
}

AdminHandler::Answer AdminHandler::IssueKey(const Call& call,
                                            const Yield& yield) {
  if (!call.caller.MayEdit(kKeySection)) {
    return ForbiddenEdit(call.caller, kKeySection);
  }
  KeyRecord record;
  record.workspace = call.body.value("workspace", "");
  record.operator_name = call.body.value("operator", "");
  record.sections = call.body.value("sections", std::vector<std::string>());
  if (record.workspace.empty() == record.operator_name.empty()) {
    return NotRun(Errc::kMalformedRequest,
                  "expected either \"workspace\" or \"operator\"");
  }
  // Nobody can give away more than it may do itself.
  for (const std::string& section : record.sections) {
    if (!call.caller.MayEdit(section)) {
      return ForbiddenEdit(call.caller, section);
    }
  }
  const ApiKey key = ApiKey::Generate();
  key.FillRecord(&record);
  StateEdit edit;
  edit.entry = KeyShardName(key.id);
  edit.who = call.caller.name;
  edit.action = fmt::format(
      "issue key {} for {}", key.id,
      record.workspace.empty() ? record.operator_name : record.workspace);
  edit.change = [&record](const json& current) -> Result<json> {
    std::vector<KeyRecord> records = KeyRecordsFromJson(current);
    records.push_back(record);
    return KeyRecordsToJson(records);
  };
  const Result<StateEditResult> result = editor_.Apply(edit, yield);
  if (!result) {
    return result.error();
  }
  return json{{"key", key.Text()}, {"key_id", key.id}};
}

AdminHandler::Answer AdminHandler::WithdrawKey(const Call& call,
                                               const Yield& yield) {
  if (!call.caller.MayEdit(kKeySection)) {
    return ForbiddenEdit(call.caller, kKeySection);
  }
  return fleet_.Withdraw(call.segments[1], call.caller.name, yield);
}

AdminHandler::Answer AdminHandler::GetDrains(const Call& /*call*/,
                                             const Yield& yield) {
  const Result<StateView> view = editor_.Read(std::string(kDrainsName), yield);
  if (!view) {
    return view.error();
  }
  return json{{"revision", view.value().revision},
              {"body", Drains::Parse(view.value().body.dump()).ToJson()}};
}

AdminHandler::Answer AdminHandler::ChangeDrains(const Call& call,
                                                const Yield& yield) {
  if (!call.caller.MayEdit(kDrainSection)) {
    return ForbiddenEdit(call.caller, kDrainSection);
  }
  const std::string kind = call.body.at("kind");
  const std::string name = call.body.at("name");
  const bool drained = call.body.at("drained");
  const bool forced = call.body.value("force", false);
  const json known = Drains().ToJson();
  if (!known.contains(kind)) {
    return NotRun(Errc::kMalformedRequest,
                  "\"kind\" is one of targets, failure_domains, regions, "
                  "instances");
  }
  const Result<std::vector<Section>> sections =
      document_.SectionsWith("", json(), yield);
  if (!sections) {
    return sections.error();
  }
  StateEdit edit;
  edit.entry = kDrainsName;
  edit.who = call.caller.name;
  edit.action =
      fmt::format("{} {} {}", drained ? "drain" : "undrain", kind, name);
  edit.forced = forced;
  edit.change = [&](const json& current) -> Result<json> {
    json body = Drains::Parse(current.dump()).ToJson();
    std::set<std::string> names = body.at(kind);
    if (drained) {
      names.insert(name);
    } else {
      names.erase(name);
    }
    body[kind] = names;
    const std::vector<std::string> stranded =
        FindStrandedServices(sections.value(), Drains::Parse(body.dump()));
    if (drained && !forced && !stranded.empty()) {
      return NotRun(Errc::kInvalidDocument, JoinLines(stranded));
    }
    return body;
  };
  const Result<StateEditResult> result = editor_.Apply(edit, yield);
  if (!result) {
    return result.error();
  }
  return json{{"revision", result.value().revision},
              {"change_id", result.value().change_id}};
}

AdminHandler::Answer AdminHandler::RequestDecisions(const Call& call,
                                                    const Yield& yield) {
  const std::optional<std::string> id = call.url.Query("request");
  if (!id) {
    return NotRun(Errc::kMalformedRequest,
                  "the parameter \"request\" is missing");
  }
  const Result<json> decisions = fleet_.Decisions(*id, yield);
  if (!decisions) {
    return decisions.error();
  }
  return json{{"instances", decisions.value()}};
}

AdminHandler::Answer AdminHandler::FleetStatus(const Call& /*call*/,
                                               const Yield& yield) {
  const Result<json> status = fleet_.Status(yield);
  if (!status) {
    return status.error();
  }
  return json{{"instances", status.value()}};
}

AdminHandler::Answer AdminHandler::Audit(const Call& call, const Yield& yield) {
  Result<std::vector<AuditRecord>> records = AllRecords(yield);
  if (!records) {
    return records.error();
  }
  const std::optional<std::string> entry = call.url.Query("entry");
  const std::optional<std::string> who = call.url.Query("who");
  std::vector<AuditRecord> chosen;
  for (AuditRecord& record : records.value()) {
    if ((!entry || record.entry == *entry) && (!who || record.who == *who)) {
      chosen.push_back(std::move(record));
    }
  }
  std::stable_sort(chosen.begin(), chosen.end(),
                   [](const AuditRecord& a, const AuditRecord& b) {
                     return a.at_ms < b.at_ms;
                   });
  return json{{"records", RecordsJson(chosen)}};
}

AdminHandler::Answer AdminHandler::VerifyAudit(const Call& /*call*/,
                                               const Yield& yield) {
  const Result<std::vector<std::string>> names = editor_.EntryNames(yield);
  if (!names) {
    return names.error();
  }
  json problems = json::array();
  size_t count = 0;
  for (const std::string& name : names.value()) {
    const Result<std::vector<AuditRecord>> records =
        editor_.History(name, yield);
    if (!records) {
      // Objects that are not edited by operators carry no records.
      continue;
    }
    count += records.value().size();
    for (const std::string& problem : FindAuditProblems(records.value())) {
      problems.push_back(problem);
    }
  }
  return json{{"records", count}, {"problems", std::move(problems)}};
}

Result<std::vector<AuditRecord>> AdminHandler::AllRecords(const Yield& yield) {
  const Result<std::vector<std::string>> names = editor_.EntryNames(yield);
  if (!names) {
    return names.error();
  }
  std::vector<AuditRecord> all;
  for (const std::string& name : names.value()) {
    Result<std::vector<AuditRecord>> records = editor_.History(name, yield);
    if (records) {
      std::move(records.value().begin(), records.value().end(),
                std::back_inserter(all));
    }
  }
  return all;
}

}  // namespace redwing
