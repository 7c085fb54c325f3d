#include "testing/fake_target/fake_target.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "framework/http/content_digest.h"
#include "framework/http/url.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/timer.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "testing/common.h"
#include "testing/stand_in_main.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr std::string_view kControlPath = "/_control/";
constexpr std::string_view kKeyMark = "rwk_";
constexpr size_t kMaxBody = 300 * 1024 * 1024;  // bytes
constexpr size_t kPiece = 64 * 1024;            // bytes
constexpr Milliseconds kForever{3'600'000};

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.body_bytes = kMaxBody;
  return limits;
}

TargetBehaviour ReadBehaviour(ObjectReader& reader) {
  TargetBehaviour behaviour;
  behaviour.slots = static_cast<int>(reader.Integer("slots", 1, 10'000, 3));
  behaviour.service_time =
      Milliseconds(reader.Integer("service_ms", 0, 600'000, 5));
  behaviour.queue =
      static_cast<size_t>(reader.Integer("queue", 0, 100'000, 64));
  return behaviour;
}

// Returns whether a caller's key stands anywhere in the request's head.
bool KeySeen(const RequestHeader& header) {
  if (StdView(header.target()).find(kKeyMark) != std::string_view::npos) {
    return true;
  }
  for (auto field = header.begin(); field != header.end(); ++field) {
    if (StdView(field->value()).find(kKeyMark) != std::string_view::npos) {
      return true;
    }
  }
  return false;
}

size_t WantedBytes(const HttpExchange& exchange) {
  const std::optional<Url> url = ParseTarget(exchange.target());
  const std::string text = url ? url->Query("bytes").value_or("0") : "0";
  size_t bytes = 0;
  std::from_chars(text.data(), text.data() + text.size(), bytes);
  return std::min(bytes, kMaxBody);
}

}  // namespace

FakeTargets::FakeTargets(Kernel& kernel, ObjectReader& settings)
    : kernel_(kernel),
      sockets_(kernel.io()),
      random_(static_cast<uint64_t>(settings.Integer("seed", 0, INT64_MAX, 1))),
      started_(Clock::now()),
      stalls_(kernel.io()) {
  settings.Objects("targets", [this](ObjectReader& item) {
    const std::string name = item.String("name");
    const std::string listen = item.Endpoint("listen");
    sites_.push_back(std::make_unique<FakeTargetSite>(*this, name, listen,
                                                      ReadBehaviour(item)));
  });
}

FakeTargets::~FakeTargets() = default;

void FakeTargets::Listen() {
  json addresses = json::object();
  for (const std::unique_ptr<FakeTargetSite>& site : sites_) {
    site->Listen();
    addresses[site->name()] = site->address();
  }
  stalls_.Start();
  Announce(addresses);
}

FakeTargetSite::FakeTargetSite(FakeTargets& owner,
                               std::string name,
                               std::string listen,
                               TargetBehaviour behaviour)
    : owner_(owner),
      name_(std::move(name)),
      listen_(std::move(listen)),
      behaviour_(std::move(behaviour)),
      server_(owner.kernel_.io(),
              owner.sockets_,
              owner.metrics_,
              *this,
              Limits()) {}

void FakeTargetSite::Listen() {
  server_.Listen(TcpEndpoint(listen_));
}

std::string FakeTargetSite::address() const {
  return FormatEndpoint(server_.local_endpoint());
}

void FakeTargetSite::SetBehaviour(const json& body) {
  behaviour_.mode = body.value("mode", behaviour_.mode);
  behaviour_.service_time =
      Milliseconds(body.value("service_ms", behaviour_.service_time.count()));
  behaviour_.slots = body.value("slots", behaviour_.slots);
  behaviour_.queue = body.value("queue", behaviour_.queue);
  behaviour_.leaving = body.value("leaving", behaviour_.leaving);
  behaviour_.digests = body.value("digests", behaviour_.digests);
  if (body.contains("cold_requests")) {
    behaviour_.cold_requests = body.value("cold_requests", 0);
    behaviour_.cold_factor = body.value("cold_factor", 10);
    served_ = 0;
  }
}

void FakeTargetSite::Handle(HttpExchange& exchange, const Yield& yield) {
  const std::string_view target = exchange.target();
  if (target.substr(0, kControlPath.size()) == kControlPath) {
    HandleControl(exchange, yield);
  } else if (target == "/healthz") {
    SendJson(exchange, 200,
             {{"status", behaviour_.leaving ? "leaving" : "ok"},
              {"used", used_},
              {"slots", behaviour_.slots}},
             yield);
  } else {
    Serve(exchange, yield);
  }
}

void FakeTargetSite::HandleControl(HttpExchange& exchange, const Yield& yield) {
  const std::optional<Url> url = ParseTarget(exchange.target());
  const std::string action = url->path.substr(kControlPath.size());
  if (action == "runs") {
    json runs = json::array();
    for (const TargetRun& run : owner_.runs()) {
      runs.push_back({run.at_us, run.target, run.token, run.workspace,
                      run.key_seen, run.finished, run.arrived_us});
    }
    SendJson(exchange, 200, runs, yield);
    return;
  }
  if (action == "stalls") {
    SendJson(exchange, 200,
             {{"started_us", MicrosecondsOf(owner_.started())},
              {"stalls", owner_.stalls().ToJson()}},
             yield);
    return;
  }
  const json body = ReadControl(exchange, yield);
  if (body.value("all", false)) {
    for (const std::unique_ptr<FakeTargetSite>& site : owner_.sites()) {
      site->SetBehaviour(body);
    }
  } else {
    SetBehaviour(body);
  }
  SendJson(exchange, 200, json::object(), yield);
}

void FakeTargetSite::Serve(HttpExchange& exchange, const Yield& yield) {
  if (used_ >= behaviour_.slots && waiters_.size() >= behaviour_.queue) {
    ResponseHeader header;
    header.result(503);
    header.set("X-Request-Not-Run", "shed");
    exchange.Respond(std::move(header), "shed", yield);
    return;
  }
  if (behaviour_.mode == "mute") {
    SleepFor(owner_.kernel().io(), kForever, yield);
    return;
  }
  TargetRun run;
  run.arrived_us = SinceStart();
  if (!AcquireSlot(yield)) {
    return;
  }
  run.at_us = SinceStart();
  run.target = name_;
  run.token = exchange.Header("X-Token");
  run.workspace = exchange.Header("X-Redwing-Workspace");
  run.key_seen = KeySeen(exchange.request());
  owner_.runs().push_back(std::move(run));
  Execute(exchange, owner_.runs().size() - 1, yield);
  ReleaseSlot();
}

void FakeTargetSite::Execute(HttpExchange& exchange,
                             size_t run,
                             const Yield& yield) {
  const std::string token = owner_.runs()[run].token;
  if (behaviour_.mode != "early") {
    std::string piece(kPiece, '\0');
    while (true) {
      const Result<size_t> size =
          exchange.ReadBody(piece.data(), piece.size(), yield);
      if (!size) {
        // A request that did not arrive whole is not executed.
        owner_.runs()[run].token = "incomplete:" + token;
        return;
      }
      if (size.value() == 0) {
        break;
      }
    }
  }
  if (!Work(exchange, yield)) {
    return;
  }
  owner_.runs()[run].finished = true;
  Answer(exchange, token, yield);
}

bool FakeTargetSite::Work(HttpExchange& exchange, const Yield& yield) {
  Timer work(owner_.kernel().io(), ServiceTime());
  exchange.WatchCaller([&work]() { work.cancel(); });
  boost::system::error_code cancelled;
  work.async_wait(yield[cancelled]);
  exchange.EndWatch();
  return !cancelled;
}

void FakeTargetSite::Answer(HttpExchange& exchange,
                            const std::string& token,
                            const Yield& yield) {
  const std::string& mode = behaviour_.mode;
  std::string body = token + "\n";
  body.resize(std::max(body.size(), WantedBytes(exchange)), 'r');
  ResponseHeader header;
  header.result(mode == "error" ? 500 : 200);
  header.set("X-Token", token);
  header.set("X-Checksum", std::to_string(Hash64(body)));
  if (behaviour_.digests) {
    header.set(BeastView(ContentDigest::kField), ContentDigestOf(body));
  }
  header.set("X-Load", fmt::format("{}/{}", used_, behaviour_.slots));
  header.set("X-Redwing-Attempt",
             BeastView(exchange.Header("X-Redwing-Attempt")));
  if (mode == "truncate_chunked") {
    exchange.BeginResponse(std::move(header));
    exchange.WriteBody(body.data(), body.size() / 2, false, yield);
    // Lets what was sent arrive before the end.
    SleepFor(owner_.kernel().io(), Milliseconds(20), yield);
    exchange.Break();
    return;
  }
  if (mode == "truncate" || mode == "lying_length") {
    header.set(http::field::content_length, std::to_string(body.size() + 10));
    exchange.BeginResponse(std::move(header));
    exchange.WriteBody(body.data(), body.size(), false, yield);
    if (mode == "lying_length") {
      SleepFor(owner_.kernel().io(), kForever, yield);
    }
    exchange.Break();
    return;
  }
  if (mode == "endless") {
    exchange.BeginResponse(std::move(header));
    while (exchange.WriteBody(body.data(), body.size(), false, yield)) {
      SleepFor(owner_.kernel().io(), Milliseconds(1), yield);
    }
    return;
  }
  if (WantedBytes(exchange) == 0 || body.size() < kPiece) {
    exchange.Respond(std::move(header), body, yield);
    return;
  }
  exchange.BeginResponse(std::move(header));
  for (size_t at = 0; at < body.size(); at += kPiece) {
    const size_t size = std::min(kPiece, body.size() - at);
    if (!exchange.WriteBody(body.data() + at, size, at + size == body.size(),
                            yield)) {
      return;
    }
  }
}

int64_t FakeTargetSite::SinceStart() const {
  return std::chrono::duration_cast<Microseconds>(Clock::now() -
                                                  owner_.started())
      .count();
}

bool FakeTargetSite::AcquireSlot(const Yield& yield) {
  if (used_ < behaviour_.slots && waiters_.empty()) {
    ++used_;
    return true;
  }
  const std::shared_ptr<Timer> waiter =
      std::make_shared<Timer>(owner_.kernel().io(), kForever);
  waiters_.push_back(waiter);
  boost::system::error_code woken;
  waiter->async_wait(yield[woken]);
  return static_cast<bool>(woken);
}

void FakeTargetSite::ReleaseSlot() {
  if (waiters_.empty()) {
    --used_;
    return;
  }
  // The slot passes on to the one that waits longest.
  waiters_.front()->cancel();
  waiters_.pop_front();
}

Milliseconds FakeTargetSite::ServiceTime() {
  const bool cold = served_++ < behaviour_.cold_requests;
  const double mean = static_cast<double>(behaviour_.service_time.count()) *
                      (cold ? behaviour_.cold_factor : 1);
  // Half of it is fixed, half exponential.
  std::exponential_distribution<double> rest(1);
  const double ms = mean * (0.5 + 0.5 * rest(owner_.random()));
  return Milliseconds(std::lround(ms));
}

}  // namespace redwing::testing
