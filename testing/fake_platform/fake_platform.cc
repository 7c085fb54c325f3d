#include "testing/fake_platform/fake_platform.h"

#include <algorithm>
#include <charconv>

#include "framework/kernel/sleep.h"
#include "framework/settings/endpoint.h"
#include "testing/common.h"
#include "testing/stand_in_main.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath =
    "/apis/redwingcart.io/v1/namespaces/default/";
constexpr std::string_view kSlicesPath =
    "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";
constexpr std::string_view kControlPath = "/_control/";
constexpr size_t kMaxObject = 1024 * 1024;  // bytes
constexpr size_t kEventsKept = 20'000;
constexpr Milliseconds kWatchPoll{5};

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.body_bytes = 2 * kMaxObject;
  return limits;
}

uint64_t Number(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json StatusObject(unsigned code, std::string_view reason) {
  return {{"kind", "Status"}, {"code", code}, {"reason", reason}};
}

int PortOf(const json& body, const char* field) {
  return TcpEndpoint(body.value(field, "127.0.0.1:0")).port();
}

// Builds the EndpointSlice of one instance.
json SliceOf(const json& body) {
  const std::string http = body.value("http", "127.0.0.1:0");
  const bool leaving = body.value("leaving", false);
  return {{"metadata",
           {{"name", body.at("name")},
            {"labels",
             {{"kubernetes.io/service-name", body.value("service", "")},
              {"topology.kubernetes.io/region", body.value("region", "")}}}}},
          {"ports",
           {{{"name", "http"}, {"port", PortOf(body, "http")}},
            {{"name", "peer"}, {"port", PortOf(body, "peer")}}}},
          {"endpoints",
           {{{"hostname", body.at("name")},
             {"addresses", {TcpEndpoint(http).address().to_string()}},
             {"zone", body.value("failure_domain", "")},
             {"conditions",
              {{"ready", !leaving},
               {"serving", true},
               {"terminating", leaving}}}}}}};
}

}  // namespace

FakePlatform::FakePlatform(Kernel& kernel, ObjectReader& settings)
    : kernel_(kernel),
      sockets_(kernel.io()),
      server_(kernel.io(), sockets_, metrics_, *this, Limits()),
      listen_(settings.Endpoint("listen")),
      list_lag_(settings.Integer("list_lag_ms", 0, 600'000, 0)),
      random_(
          static_cast<uint64_t>(settings.Integer("seed", 0, INT64_MAX, 1))) {}

void FakePlatform::Listen() {
  server_.Listen(TcpEndpoint(listen_));
  Announce({{"http", FormatEndpoint(server_.local_endpoint())}});
}

void FakePlatform::Handle(HttpExchange& exchange, const Yield& yield) {
  const std::optional<Url> url = ParseTarget(exchange.target());
  if (!url) {
    SendJson(exchange, 400, StatusObject(400, "BadRequest"), yield);
    return;
  }
  if (url->path.rfind(kControlPath, 0) == 0) {
    HandleControl(exchange, *url, yield);
    return;
  }
  const std::string call =
      url->Query("watch") ? "watch" : std::string(exchange.method());
  ++calls_[call];
  if (fault_.delay.count() > 0) {
    SleepFor(kernel_.io(), fault_.delay, yield);
  }
  if (fault_.mode == "down" && Drawn()) {
    exchange.Break();
    return;
  }
  if (url->path == kSlicesPath) {
    ListSlices(exchange, yield);
  } else if (url->path.rfind(kObjectsPath, 0) == 0) {
    HandleObjects(exchange, *url, yield);
  } else {
    SendJson(exchange, 404, StatusObject(404, "NotFound"), yield);
  }
}

void FakePlatform::HandleControl(HttpExchange& exchange,
                                 const Url& url,
                                 const Yield& yield) {
  const std::string action = url.path.substr(kControlPath.size());
  if (action == "calls") {
    SendJson(exchange, 200, calls_, yield);
    return;
  }
  const json body = ReadControl(exchange, yield);
  if (!body.is_object()) {
    SendJson(exchange, 400, StatusObject(400, "BadRequest"), yield);
    return;
  }
  if (action == "fault") {
    SetFault(body);
  } else if (action == "instance") {
    ChangeInstance(body);
  }
  SendJson(exchange, 200, json::object(), yield);
}

void FakePlatform::SetFault(const json& body) {
  fault_.mode = body.value("mode", "ok");
  fault_.delay = Milliseconds(body.value("delay_ms", 0));
  fault_.share = body.value("share", 1.0);
}

void FakePlatform::ChangeInstance(const json& body) {
  const bool removed = body.value("removed", false);
  pending_changes_.push_back({Clock::now() + list_lag_, body.at("name"),
                              removed ? json() : SliceOf(body)});
}

void FakePlatform::HandleObjects(HttpExchange& exchange,
                                 const Url& url,
                                 const Yield& yield) {
  const std::string path = url.path.substr(kObjectsPath.size());
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  const http::verb method = exchange.request().method();
  if (method == http::verb::get && name.empty()) {
    if (url.Query("watch")) {
      WatchObjects(exchange, kind, url, yield);
    } else {
      ListObjects(exchange, kind, yield);
    }
    return;
  }
  if (method == http::verb::get) {
    const auto object = objects_[kind].find(name);
    const bool known = object != objects_[kind].end();
    SendJson(exchange, known ? 200 : 404,
             known ? object->second.value : StatusObject(404, "NotFound"),
             yield);
    return;
  }
  const Result<std::string> text = exchange.ReadWholeBody(kMaxObject, yield);
  json value = json::parse(text ? text.value() : "", nullptr,
                           /*allow_exceptions=*/false);
  if (method == http::verb::delete_ && value.is_object()) {
    const std::pair<unsigned, json> answer = Remove(kind, name, value);
    SendJson(exchange, answer.first, answer.second, yield);
    return;
  }
  if (!value.is_object() || !value.contains("metadata")) {
    SendJson(exchange, 400, StatusObject(400, "BadRequest"), yield);
    return;
  }
  const bool create = method == http::verb::post;
  const std::string target =
      create ? value["metadata"].value("name", "") : name;
  const std::pair<unsigned, json> answer =
      Write(kind, target, std::move(value), create);
  if (fault_.mode == "lose_answers" && Drawn()) {
    exchange.Break();
    return;
  }
  SendJson(exchange, answer.first, answer.second, yield);
}

void FakePlatform::ListObjects(HttpExchange& exchange,
                               const std::string& kind,
                               const Yield& yield) {
  json items = json::array();
  for (const auto& [name, object] : objects_[kind]) {
    items.push_back(object.value);
  }
  SendJson(exchange, 200,
           {{"metadata", {{"resourceVersion", std::to_string(version_)}}},
            {"items", std::move(items)}},
           yield);
}

void FakePlatform::WatchObjects(HttpExchange& exchange,
                                const std::string& kind,
                                const Url& url,
                                const Yield& yield) {
  uint64_t seen = Number(url.Query("resourceVersion").value_or("0"));
  const Milliseconds length(1000 *
                            Number(url.Query("timeoutSeconds").value_or("30")));
  ResponseHeader header;
  header.result(200);
  header.set(http::field::content_type, "application/json");
  exchange.BeginResponse(std::move(header));
  const TimePoint end = Clock::now() + length;
  while (Clock::now() < end) {
    if (fault_.mode == "down") {
      exchange.Break();
      return;
    }
    std::string lines;
    for (const Event& event : events_) {
      if (event.version > seen && event.kind == kind) {
        lines += event.event.dump() + "\n";
      }
    }
    seen = std::max(seen, version_);
    if (!lines.empty()) {
      if (fault_.delay.count() > 0) {
        SleepFor(kernel_.io(), fault_.delay, yield);
      }
      if (!exchange.WriteBody(lines.data(), lines.size(), false, yield)) {
        return;
      }
    }
    SleepFor(kernel_.io(), kWatchPoll, yield);
  }
  exchange.WriteBody(nullptr, 0, true, yield);
}

std::pair<unsigned, json> FakePlatform::Write(const std::string& kind,
                                              const std::string& name,
                                              json value,
                                              bool create) {
  std::map<std::string, Object>& objects = objects_[kind];
  const auto known = objects.find(name);
  if (create && known != objects.end()) {
    return {409, StatusObject(409, "AlreadyExists")};
  }
  if (!create && known == objects.end()) {
    return {404, StatusObject(404, "NotFound")};
  }
  const std::string expected = value["metadata"].value("resourceVersion", "");
  if (!create && expected != std::to_string(known->second.version)) {
    return {409, StatusObject(409, "Conflict")};
  }
  ++version_;
  value["metadata"]["name"] = name;
  value["metadata"]["resourceVersion"] = std::to_string(version_);
  objects[name] = {value, version_};
  events_.push_back(
      {version_,
       kind,
       {{"type", create ? "ADDED" : "MODIFIED"}, {"object", value}}});
  if (events_.size() > kEventsKept) {
    events_.pop_front();
  }
  return {create ? 201 : 200, value};
}

std::pair<unsigned, json> FakePlatform::Remove(const std::string& kind,
                                               const std::string& name,
                                               const json& options) {
  std::map<std::string, Object>& objects = objects_[kind];
  const auto known = objects.find(name);
  if (known == objects.end()) {
    return {404, StatusObject(404, "NotFound")};
  }
  const json preconditions = options.value("preconditions", json::object());
  const std::string expected = preconditions.value("resourceVersion", "");
  if (expected != std::to_string(known->second.version)) {
    return {409, StatusObject(409, "Conflict")};
  }
  ++version_;
  events_.push_back(
      {version_, kind, {{"type", "DELETED"}, {"object", known->second.value}}});
  objects.erase(known);
  return {200, StatusObject(200, "Success")};
}

void FakePlatform::ListSlices(HttpExchange& exchange, const Yield& yield) {
  const TimePoint now = Clock::now();
  while (!pending_changes_.empty() &&
         pending_changes_.front().visible_at <= now) {
    const ListedChange& change = pending_changes_.front();
    if (change.slice.is_null()) {
      slices_.erase(change.name);
    } else {
      slices_[change.name] = change.slice;
    }
    ++list_version_;
    pending_changes_.pop_front();
  }
  json items = json::array();
  for (const auto& [name, slice] : slices_) {
    items.push_back(slice);
  }
  SendJson(exchange, 200,
           {{"metadata", {{"resourceVersion", std::to_string(list_version_)}}},
            {"items", std::move(items)}},
           yield);
}

bool FakePlatform::Drawn() {
  return std::bernoulli_distribution(fault_.share)(random_);
}

}  // namespace redwing::testing
