#include "review/stand_ins_3/store.h"

#include <charconv>

#include "framework/http/http_exchange.h"
#include "framework/http/url.h"
#include "framework/kernel/sleep.h"
#include "framework/settings/endpoint.h"

namespace redwing::review {

namespace {

using nlohmann::json;

constexpr std::string_view kRoot = "/objects/";
constexpr Milliseconds kWatchPoll{5};
constexpr size_t kChangesKept = 1000;
constexpr size_t kMaxBody = 1024 * 1024;  // bytes
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;

uint64_t Number(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void Answer(HttpExchange& exchange,
            unsigned status,
            const json& body,
            const Yield& yield) {
  exchange.Respond(status, "application/json", body.dump(), yield);
}

}  // namespace

Store::Store(boost::asio::io_context& io, uint64_t revision)
    : io_(io),
      sockets_(io),
      server_(io, sockets_, metrics_, *this, HttpServerLimits()),
      revision_(revision),
      forgotten_(revision) {}

std::string Store::Listen(const std::string& ip) {
  server_.Listen(TcpEndpoint(ip + ":0"));
  return FormatEndpoint(server_.local_endpoint());
}

void Store::Handle(HttpExchange& exchange, const Yield& yield) {
  exchange.SetResponseField("Store-Era", "1");
  const std::optional<Url> url = ParseTarget(exchange.target());
  if (!url || url->path.rfind(kRoot, 0) != 0) {
    Answer(exchange, kNotFound, json::object(), yield);
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
    List(exchange, kind, yield);
  } else if (method == http::verb::get) {
    const bool known = objects_[kind].count(name) > 0;
    Answer(exchange, known ? 200 : kNotFound,
           known ? Render(kind, name) : json::object(), yield);
  } else if (method == http::verb::delete_) {
    Delete(exchange, kind, name, url->Query("revision").value_or(""), yield);
  } else {
    Write(exchange, kind, name, yield);
  }
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const json& spec) {
  Object& object = objects_[kind][name];
  object.revision = ++revision_;
  object.spec = spec;
  Record(kind, Render(kind, name), /*removed=*/false);
}

void Store::List(HttpExchange& exchange,
                 const std::string& kind,
                 const Yield& yield) {
  json items = json::array();
  for (const auto& [name, object] : objects_[kind]) {
    items.push_back(Render(kind, name));
  }
  Answer(exchange, 200,
         {{"items", std::move(items)}, {"hasMore", false}, {"asOf", revision_}},
         yield);
}

void Store::Watch(HttpExchange& exchange,
                  const std::string& kind,
                  uint64_t after,
                  Milliseconds limit,
                  const Yield& yield) {
  const TimePoint end = Clock::now() + limit;
  if (after < forgotten_ || after > revision_) {
    Answer(exchange, kGone, json::object(), yield);
    return;
  }
  json events = json::array();
  while (events.empty() && Clock::now() < end) {
    for (const Change& change : changes_) {
      if (change.revision > after && change.kind == kind) {
        events.push_back(change.event);
      }
    }
    if (events.empty()) {
      SleepFor(io_, kWatchPoll, yield);
    }
  }
  Answer(exchange, 200, {{"events", std::move(events)}, {"asOf", revision_}},
         yield);
}

void Store::Write(HttpExchange& exchange,
                  const std::string& kind,
                  const std::string& path_name,
                  const Yield& yield) {
  const Result<std::string> text = exchange.ReadWholeBody(kMaxBody, yield);
  const json body = json::parse(text ? text.value() : "", nullptr,
                                /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("metadata")) {
    Answer(exchange, 400, json::object(), yield);
    return;
  }
  const json& metadata = body.at("metadata");
  const bool create = exchange.request().method() == http::verb::post;
  const std::string name = create ? metadata.value("name", "") : path_name;
  const auto known = objects_[kind].find(name);
  const bool exists = known != objects_[kind].end();
  if (!create && !exists) {
    Answer(exchange, kNotFound, json::object(), yield);
    return;
  }
  const bool stale = exists && metadata.contains("revision") &&
                     metadata.at("revision") != known->second.revision;
  if ((create && exists) || stale) {
    Answer(exchange, kConflict, Render(kind, name), yield);
    return;
  }
  const json spec = body.value("spec", json());
  if (!exists || known->second.spec != spec) {
    Put(kind, name, spec);
  }
  Answer(exchange, 200, Render(kind, name), yield);
}

void Store::Delete(HttpExchange& exchange,
                   const std::string& kind,
                   const std::string& name,
                   const std::string& revision,
                   const Yield& yield) {
  const auto known = objects_[kind].find(name);
  if (known == objects_[kind].end()) {
    Answer(exchange, kNotFound, json::object(), yield);
    return;
  }
  if (!revision.empty() && Number(revision) != known->second.revision) {
    Answer(exchange, kConflict, Render(kind, name), yield);
    return;
  }
  ++revision_;
  Record(kind, Render(kind, name), /*removed=*/true);
  objects_[kind].erase(name);
  Answer(exchange, 200, json::object(), yield);
}

json Store::Render(const std::string& kind, const std::string& name) const {
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

void Store::Record(const std::string& kind, json object, bool removed) {
  changes_.push_back(
      {revision_, kind, {{"object", std::move(object)}, {"removed", removed}}});
  if (changes_.size() > kChangesKept) {
    forgotten_ = changes_.front().revision;
    changes_.pop_front();
  }
}

}  // namespace redwing::review
