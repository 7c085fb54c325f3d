#include "stand_ins/store.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "stand_ins/record.h"

namespace review {

namespace {

using nlohmann::json;

constexpr size_t kPage = 500;
constexpr size_t kHistory = 5000;

std::string Decode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> QueryOf(const std::string& text) {
  std::map<std::string, std::string> query;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find('&', begin), text.size());
    const std::string item = text.substr(begin, end - begin);
    const size_t equals = item.find('=');
    query[item.substr(0, equals)] =
        equals == std::string::npos ? "" : Decode(item.substr(equals + 1));
    begin = end + 1;
  }
  return query;
}

}  // namespace

Store::Store(const std::string& ip)
    : server_(std::make_unique<Server>(
          ip,
          0,
          [this](Socket& socket, const Message& request) {
            return Handle(socket, request);
          })) {}

uint64_t Store::Put(const std::string& kind,
                    const std::string& name,
                    const json& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (away_) {
    return 0;
  }
  Object& object = objects_[kind][name];
  if (object.created == 0) {
    object.created = revision_ + 1;
  } else if (object.spec == spec) {
    return object.revision;
  }
  object.spec = spec;
  object.revision = ++revision_;
  Note(kind, name, false);
  return revision_;
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (objects_[kind].count(name) > 0) {
    ++revision_;
    Note(kind, name, true);
    objects_[kind].erase(name);
  }
}

void Store::AddRaw(const std::string& kind, const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (text.empty()) {
    raw_.erase(kind);
  } else {
    raw_[kind] = text;
  }
  ++revision_;
}

void Store::SetAway(bool away) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    away_ = away;
    changed_.notify_all();
  }
  server_->SetUp(!away);
}

void Store::Copy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = objects_;
  copy_revision_ = revision_;
}

void Store::Restore() {
  const std::lock_guard<std::mutex> lock(mutex_);
  objects_ = copy_;
  revision_ = copy_revision_;
  changes_.clear();
  history_from_ = revision_;
  ++era_;
}

uint64_t Store::revision() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return revision_;
}

void Store::Note(const std::string& kind,
                 const std::string& name,
                 bool removed) {
  changes_.push_back({revision_,
                      kind,
                      {{"removed", removed}, {"object", Render(kind, name)}}});
  if (changes_.size() > kHistory) {
    history_from_ = changes_.front().revision;
    changes_.pop_front();
  }
  changed_.notify_all();
}

json Store::Render(const std::string& kind, const std::string& name) {
  const Object& object = objects_.at(kind).at(name);
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", object.created},
            {"finalizers", object.finalizers},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", object.status}};
}

std::string Store::Answer(int status, const std::string& body) {
  return Response(status,
                  {{"Content-Type", "application/json"},
                   {"Store-Era", std::to_string(era_)}},
                  body);
}

bool Store::Handle(Socket& socket, const Message& request) {
  const size_t question = request.target.find('?');
  const std::string path = request.target.substr(0, question);
  std::map<std::string, std::string> query =
      question == std::string::npos
          ? std::map<std::string, std::string>()
          : QueryOf(request.target.substr(question + 1));
  const std::string root = "/objects/";
  std::string answer;
  if (path.compare(0, root.size(), root) != 0) {
    answer = Answer(404, "{}");
  } else {
    const std::string rest = path.substr(root.size());
    const size_t slash = rest.find('/');
    const std::string kind = Decode(rest.substr(0, slash));
    const std::string name =
        slash == std::string::npos ? "" : Decode(rest.substr(slash + 1));
    if (request.method == "GET" && query.count("watch") > 0) {
      answer = Watch(kind, std::stoull(query["watch"]),
                     std::atof(query["waitMs"].c_str()) / 1000);
    } else if (request.method == "GET" && name.empty()) {
      answer = List(kind, query["after"]);
    } else if (request.method == "GET") {
      const std::lock_guard<std::mutex> lock(mutex_);
      answer = objects_[kind].count(name) > 0
                   ? Answer(200, Render(kind, name).dump())
                   : Answer(404, "{}");
    } else if (request.method == "DELETE") {
      answer = Delete(kind, name, query["revision"]);
    } else {
      answer = Write(request, kind, name);
    }
  }
  const bool written = !answer.empty() && socket.Write(answer, Now() + 5);
  return written && request.Field("connection") != "close";
}

std::string Store::List(const std::string& kind, const std::string& after) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  size_t count = 0;
  bool more = false;
  const std::map<std::string, Object>& objects = objects_[kind];
  for (auto item = objects.upper_bound(after); item != objects.end(); ++item) {
    if (count++ == kPage) {
      more = true;
      break;
    }
    items += (items.empty() ? "" : ",") + Render(kind, item->first).dump();
  }
  if (after.empty() && raw_.count(kind) > 0) {
    items = raw_[kind] + (items.empty() ? "" : ",") + items;
  }
  return Answer(200, fmt::format(R"({{"items":[{}],"hasMore":{},"asOf":{}}})",
                                 items, more ? "true" : "false", revision_));
}

std::string Store::Watch(const std::string& kind, uint64_t from, double wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(wait);
  const int era = era_;
  while (true) {
    if (away_ || era != era_) {
      return "";
    }
    if (from < history_from_ || from > revision_) {
      return Answer(410, "{}");
    }
    json events = json::array();
    for (const Change& change : changes_) {
      if (change.revision > from && change.kind == kind) {
        events.push_back(change.event);
      }
    }
    const bool over = std::chrono::steady_clock::now() >= end;
    if (!events.empty() || over) {
      return Answer(200,
                    json({{"events", events}, {"asOf", revision_}}).dump());
    }
    changed_.wait_until(lock, end);
  }
}

std::string Store::Write(const Message& request,
                         const std::string& kind,
                         const std::string& path_name) {
  const json body = json::parse(request.body, nullptr, false);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!body.is_object() || !body.contains("metadata")) {
    return Answer(400, "{}");
  }
  const json& metadata = body.at("metadata");
  const bool create = request.method == "POST";
  std::string name = create ? metadata.value("name", "") : path_name;
  const std::string suffix = "/status";
  const bool status =
      name.size() > suffix.size() &&
      name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
  if (status) {
    name.resize(name.size() - suffix.size());
  }
  const auto known = objects_[kind].find(name);
  const bool exists = known != objects_[kind].end();
  if (!create && !exists) {
    return Answer(404, "{}");
  }
  const bool stale = exists && metadata.contains("revision") &&
                     metadata.at("revision") != known->second.revision;
  if ((create && exists) || stale) {
    return Answer(409, Render(kind, name).dump());
  }
  Object next = exists ? known->second : Object();
  if (status) {
    next.status = body.value("status", json());
  } else {
    next.spec = body.value("spec", json());
    next.finalizers = metadata.value("finalizers", json::array());
  }
  const bool changes = !exists || next.spec != known->second.spec ||
                       next.status != known->second.status ||
                       next.finalizers != known->second.finalizers;
  if (changes) {
    next.revision = ++revision_;
    next.created = exists ? next.created : revision_;
    objects_[kind][name] = next;
    Note(kind, name, false);
    Record::Line("store: the system wrote {}/{} at revision {}", kind, name,
                 revision_);
  }
  return Answer(200, Render(kind, name).dump());
}

std::string Store::Delete(const std::string& kind,
                          const std::string& name,
                          const std::string& revision) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = objects_[kind].find(name);
  if (known == objects_[kind].end()) {
    return Answer(404, "{}");
  }
  if (!revision.empty() && std::stoull(revision) != known->second.revision) {
    return Answer(409, Render(kind, name).dump());
  }
  ++revision_;
  Note(kind, name, true);
  objects_[kind].erase(name);
  return Answer(200, "{}");
}

}  // namespace review
