#include "stand_ins/upstream.h"

#include <fmt/format.h>

#include "stand_ins/record.h"
#include "stand_ins/store.h"

namespace review {

namespace {
constexpr double kBeat = 1.5;
constexpr double kPoll = 0.005;
}  // namespace

Upstream::Upstream(Store& store,
                   const std::string& ip,
                   const std::string& id,
                   const std::string& service,
                   const std::string& zone)
    : store_(store), id_(id), service_(service), zone_(zone) {
  server_ = std::make_unique<Server>(
      ip, 0, [this](Socket& socket, const Message& request) {
        return Handle(socket, request);
      });
  Beat();
  beats_ = std::thread([this]() {
    double next = Now() + kBeat * (std::hash<std::string>()(id_) % 100) / 100;
    while (!stopped_) {
      if (Now() >= next) {
        Beat();
        next += kBeat;
      }
      Sleep(0.02);
    }
  });
}

Upstream::~Upstream() {
  stopped_ = true;
  beats_.join();
}

void Upstream::Beat() {
  store_.Put("servers", id_,
             {{"service", service_},
              {"address", server_->address()},
              {"zone", zone_},
              {"version", "v1"},
              {"slots", kSlots},
              {"state", draining_ ? "draining" : "ready"},
              {"warmup_time", "0ms"},
              {"seq", ++sequence_},
              {"born", 1796000000000}});
}

void Upstream::Drain() {
  draining_ = true;
  Beat();
}

void Upstream::SetAnswerer(Answerer answerer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answerer_ = std::move(answerer);
}

std::vector<Run> Upstream::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

bool Upstream::Handle(Socket& socket, const Message& request) {
  const std::string request_id = request.Field("x-redwingcart-request-id");
  const std::string wanted = request.Field("x-redwingcart-target-instance");
  std::map<std::string, std::string> fields = {
      {"X-Redwingcart-Request-Id", request_id},
      {"X-Redwingcart-Instance-Id", id_}};
  if (draining_) {
    fields["Server-Leaving"] = "1";
  }
  if (!wanted.empty() && wanted != id_) {
    return socket.Write(Response(421, fields, ""), Now() + 5);
  }
  if (running_ >= kSlots) {
    fields["X-Redwingcart-Not-Executed"] = "1";
    return socket.Write(Response(503, fields, ""), Now() + 5);
  }
  ++running_;
  size_t index = 0;
  Answerer answerer;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    index = runs_.size();
    runs_.push_back(
        {request_id, request.Field("x-redwingcart-tenant"), id_, Now(), false});
    answerer = answerer_;
  }
  Record::Line("upstream {}: runs {} of tenant {}", id_, request_id,
               request.Field("x-redwingcart-tenant"));
  if (answerer) {
    const bool open = answerer(socket, request);
    --running_;
    return open;
  }
  const double end = Now() + work_;
  bool left = false;
  while (Now() < end && !left && !stopped_) {
    Sleep(std::min(kPoll, std::max(0.0, end - Now())));
    left = socket.PeerHasClosed();
  }
  --running_;
  if (left) {
    Record::Line("upstream {}: the caller of {} left during the work", id_,
                 request_id);
    return false;
  }
  fields["X-Redwingcart-Response-Signature"] = "signed-" + request_id;
  fields["X-Redwingcart-Server-Load"] =
      fmt::format("{},0,{}", running_.load(), kSlots);
  const bool written =
      socket.Write(Response(200, fields, "ran " + request_id), Now() + 5);
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[index].answered = written;
  return written;
}

}  // namespace review
