#include "testing/platform_stand_in/store_stand_in.h"

#include <charconv>

#include "framework/http/http_exchange.h"
#include "framework/http/url.h"
#include "framework/kernel/sleep.h"
#include "framework/settings/endpoint.h"
#include "testing/common.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr std::string_view kRoot = "/objects/";
constexpr Milliseconds kWatchPoll{5};
// Longer than anybody waits for an answer.
constexpr Milliseconds kSilence{60'000};
constexpr size_t kChangesKept = 1000;

uint64_t Number(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context& io)
    : io_(io),
      sockets_(io),
      server_(io, sockets_, metrics_, *this, HttpServerLimits()) {}

std::string StoreStandIn::Listen(const std::string& ip) {
  server_.Listen(TcpEndpoint(ip + ":0"));
  return FormatEndpoint(server_.local_endpoint());
}

void StoreStandIn::Handle(HttpExchange& exchange, const Yield& yield) {
  ++calls_;
  const std::string caller = exchange.peer_ip();
  if (turned_away_.count(caller) > 0 && turned_away_status_ == 0) {
    SleepFor(io_, kSilence, yield);
    exchange.Break();
    return;
  }
  exchange.SetResponseField("Store-Era", std::to_string(era_));
  const std::optional<Url> url = ParseTarget(exchange.target());
  if (!url || url->path.rfind(kRoot, 0) != 0) {
    SendJson(exchange, 404, json::object(), yield);
    return;
  }
  if (down_ || turned_away_.count(caller) > 0) {
    SendJson(exchange, down_ ? 503 : turned_away_status_, json::object(),
             yield);
    return;
  }
  const std::string path = url->path.substr(kRoot.size());
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  const http::verb method = exchange.request().method();
  if (method == http::verb::get && url->Query("watch")) {
    Watch(exchange, kind, Number(*url->Query("watch")),
          Milliseconds(Number(url->Query("waitMs").value_or("0"))), yield);
  } else if (method == http::verb::get && name.empty()) {
    listed_[kind][caller] = Clock::now();
    List(exchange, kind, yield);
  } else if (method == http::verb::get) {
    const bool known = objects_[kind].count(name) > 0;
    SendJson(exchange, known ? 200 : 404,
             known ? Render(kind, name) : json::object(), yield);
  } else if (method == http::verb::delete_) {
    Delete(exchange, kind, name, url->Query("revision").value_or(""), yield);
  } else {
    Write(exchange, kind, name, yield);
  }
}

void StoreStandIn::TurnAway(std::set<std::string> callers, unsigned status) {
  turned_away_ = std::move(callers);
  turned_away_status_ = status;
}

std::set<std::string> StoreStandIn::ListedBy(const std::string& kind,
                                             TimePoint time) const {
  std::set<std::string> callers;
  const auto listed = listed_.find(kind);
  if (listed == listed_.end()) {
    return callers;
  }
  for (const auto& [caller, at] : listed->second) {
    if (at >= time) {
      callers.insert(caller);
    }
  }
  return callers;
}

void StoreStandIn::Restore() {
  objects_ = copy_.objects;
  revision_ = copy_.revision;
  changes_.clear();
  ++era_;
}

uint64_t StoreStandIn::Put(const std::string& kind,
                           const std::string& name,
                           const json& spec) {
  Object& object = objects_[kind][name];
  object.revision = ++revision_;
  object.spec = spec;
  Record(kind, Render(kind, name), /*removed=*/false);
  return revision_;
}

void StoreStandIn::AddRawItem(const std::string& kind,
                              const std::string& text) {
  raw_items_[kind].push_back(text);
}

void StoreStandIn::Remove(const std::string& kind, const std::string& name) {
  ++revision_;
  Record(kind, Render(kind, name), /*removed=*/true);
  objects_[kind].erase(name);
}

size_t StoreStandIn::Count(const std::string& kind) const {
  const auto objects = objects_.find(kind);
  return objects == objects_.end() ? 0 : objects->second.size();
}

void StoreStandIn::List(HttpExchange& exchange,
                        const std::string& kind,
                        const Yield& yield) {
  json items = json::array();
  for (const auto& [name, object] : objects_[kind]) {
    items.push_back(Render(kind, name));
  }
  const json page = {
      {"items", std::move(items)}, {"hasMore", false}, {"asOf", revision_}};
  std::string text = page.dump();
  constexpr std::string_view kItems = R"("items":[)";
  for (const std::string& raw : raw_items_[kind]) {
    // The items that are rendered follow.
    text.insert(text.find(kItems) + kItems.size(), raw + ",");
  }
  ResponseHeader header;
  header.result(200);
  header.set(http::field::content_type, "application/json");
  exchange.Respond(std::move(header), text, yield);
}

void StoreStandIn::Watch(HttpExchange& exchange,
                         const std::string& kind,
                         uint64_t after,
                         Milliseconds limit,
                         const Yield& yield) {
  const TimePoint end = Clock::now() + limit;
  const int silenced = silenced_;
  const uint32_t era = era_;
  json events = json::array();
  while (events.empty() && Clock::now() < end) {
    if (silenced != silenced_) {
      SleepFor(io_, kSilence, yield);
      exchange.Break();
      return;
    }
    if (era != era_ || after > revision_) {
      constexpr unsigned kGone = 410;
      SendJson(exchange, kGone, json::object(), yield);
      return;
    }
    for (const Change& change : changes_) {
      if (change.revision > after && change.kind == kind) {
        events.push_back(change.event);
      }
    }
    if (events.empty()) {
      SleepFor(io_, kWatchPoll, yield);
    }
  }
  SendJson(exchange, 200, {{"events", std::move(events)}, {"asOf", revision_}},
           yield);
}

void StoreStandIn::Write(HttpExchange& exchange,
                         const std::string& kind,
                         const std::string& path_name,
                         const Yield& yield) {
  const json body = ReadControl(exchange, yield);
  if (!body.is_object() || !body.contains("metadata")) {
    SendJson(exchange, 400, json::object(), yield);
    return;
  }
  const json& metadata = body.at("metadata");
  const bool create = exchange.request().method() == http::verb::post;
  const std::string name = create ? metadata.value("name", "") : path_name;
  const auto known = objects_[kind].find(name);
  const bool exists = known != objects_[kind].end();
  if (!create && !exists) {
    SendJson(exchange, 404, json::object(), yield);
    return;
  }
  const bool stale = exists && metadata.contains("revision") &&
                     metadata.at("revision") != known->second.revision;
  if ((create && exists) || stale) {
    SendJson(exchange, 409, Render(kind, name), yield);
    return;
  }
  Put(kind, name, body.value("spec", json()));
  SendJson(exchange, 200, Render(kind, name), yield);
}

void StoreStandIn::Delete(HttpExchange& exchange,
                          const std::string& kind,
                          const std::string& name,
                          const std::string& revision,
                          const Yield& yield) {
  const auto known = objects_[kind].find(name);
  if (known == objects_[kind].end()) {
    SendJson(exchange, 404, json::object(), yield);
    return;
  }
  if (!revision.empty() && Number(revision) != known->second.revision) {
    SendJson(exchange, 409, Render(kind, name), yield);
    return;
  }
  Remove(kind, name);
  SendJson(exchange, 200, json::object(), yield);
}

json StoreStandIn::Render(const std::string& kind,
                          const std::string& name) const {
  const Object& object = objects_.at(kind).at(name);
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", 1},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

void StoreStandIn::Record(const std::string& kind, json object, bool removed) {
  changes_.push_back(
      {revision_, kind, {{"object", std::move(object)}, {"removed", removed}}});
  if (changes_.size() > kChangesKept) {
    changes_.pop_front();
  }
}

}  // namespace redwing::testing
