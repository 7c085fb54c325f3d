#include "load/load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "delivery/header_dialect.h"
#include "framework/http/refusal.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr size_t kIdlePerEntry = 512;
constexpr size_t kPiece = 64 * 1024;  // bytes
constexpr Milliseconds kLookupTimeout{3'000};
constexpr Milliseconds kRunsTimeout{20'000};
constexpr Milliseconds kPause{20};

}  // namespace

LoadGenerator::LoadGenerator(LoadPlan plan)
    : plan_(std::move(plan)),
      io_(1),
      sockets_(io_),
      pool_(io_, sockets_, metrics_, kIdlePerEntry),
      client_(io_, sockets_),
      random_(plan_.seed) {}

LoadGenerator::~LoadGenerator() = default;

LoadReport LoadGenerator::Run() {
  Spawn(io_, [this](const Yield& yield) {
    Dispatch(Schedule(), yield);
    while (running_ > 0) {
      SleepFor(io_, kPause, yield);
    }
    if (!plan_.runs_from.empty()) {
      FetchRuns(yield);
    }
    io_.stop();
  });
  io_.run();
  return report_;
}

std::vector<LoadGenerator::Arrival> LoadGenerator::Schedule() {
  std::vector<Arrival> arrivals;
  started_ = Clock::now();
  for (size_t g = 0; g < plan_.groups.size(); ++g) {
    const CallerGroup& group = plan_.groups[g];
    std::exponential_distribution<double> gap(group.rate);
    std::vector<double> weights;
    for (const LoadRequest& request : group.requests) {
      weights.push_back(request.weight);
    }
    std::discrete_distribution<size_t> kind(weights.begin(), weights.end());
    std::uniform_int_distribution<int> caller(0, group.callers - 1);
    double at = ToSeconds(group.from) + gap(random_);
    while (at < ToSeconds(group.until)) {
      arrivals.push_back(
          {started_ + std::chrono::duration_cast<Clock::duration>(
                          std::chrono::duration<double>(at)),
           g, &group.requests[kind(random_)],
           fmt::format("{}-{}-{}", plan_.seed, group.name, arrivals.size()),
           caller(random_)});
      at += gap(random_);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

void LoadGenerator::Dispatch(const std::vector<Arrival>& arrivals,
                             const Yield& yield) {
  for (const Arrival& arrival : arrivals) {
    const TimePoint now = Clock::now();
    if (arrival.at > now) {
      SleepFor(io_, arrival.at - now, yield);
    }
    ++running_;
    Spawn(io_, [this, arrival](const Yield& sender) {
      Send(arrival, sender);
      --running_;
    });
  }
}

void LoadGenerator::Send(const Arrival& arrival, const Yield& yield) {
  RequestEnd end;
  end.group = plan_.groups[arrival.group].name;
  end.token = arrival.token;
  end.once = arrival.request->once;
  end.begun_ms = ToSeconds(arrival.at - started_) * 1000;
  end.error = "no_entry";
  std::string idempotency_key;
  bool may_have_run = false;
  size_t skip = 0;
  for (int attempt = 0; attempt < plan_.max_tries; ++attempt) {
    const std::vector<Entry> entries = LookUp(arrival, yield);
    if (entries.empty()) {
      break;
    }
    const Entry& entry = entries[skip++ % entries.size()];
    if (arrival.request->keyed && idempotency_key.empty()) {
      idempotency_key = entry.prefix + "-" + arrival.token;
    }
    const std::string request_id = fmt::format("{}-{}", arrival.token, attempt);
    const bool again =
        Try(arrival, entry, request_id, idempotency_key, &end, yield);
    may_have_run = may_have_run || end.verdict != Verdict::kNotRun;
    if (!end.ok) {
      end.last_failed = {request_id, end.error, end.verdict};
      end.first_failed = end.first_failed.value_or(*end.last_failed);
    }
    if (!again) {
      break;
    }
    SleepFor(io_, kPause * attempt, yield);
  }
  if (!end.ok && may_have_run && end.verdict == Verdict::kNotRun) {
    end.verdict = Verdict::kMayHaveRun;
  }
  end.ended_ms = SinceStart();
  report_.Add(std::move(end));
}

std::vector<LoadGenerator::Entry> LoadGenerator::LookUp(const Arrival& arrival,
                                                        const Yield& yield) {
  if (plan_.direct) {
    std::vector<Entry> entries;
    for (size_t i = 0; i < plan_.entries.size(); ++i) {
      entries.push_back(
          {plan_.entries[(next_bootstrap_ + i) % plan_.entries.size()], ""});
    }
    ++next_bootstrap_;
    return entries;
  }
  const CallerGroup& group = plan_.groups[arrival.group];
  CachedLookup& cached = lookups_[fmt::format(
      "{}/{}/{}", group.name, arrival.request->service, arrival.caller)];
  for (size_t i = 0; Clock::now() >= cached.until && i < plan_.entries.size();
       ++i) {
    HttpCall call;
    call.endpoint =
        TcpEndpoint(plan_.entries[next_bootstrap_++ % plan_.entries.size()]);
    call.target =
        fmt::format("/v1/entry?service={}{}{}", arrival.request->service,
                    group.region.empty() ? "" : "&region=", group.region);
    call.timeout = kLookupTimeout;
    const Result<HttpReply> reply = client_.Call(call, yield);
    if (!reply || reply.value().status != 200) {
      continue;
    }
    const json answer = json::parse(reply.value().body);
    cached.entries.clear();
    for (const json& entry : answer.at("entries")) {
      cached.entries.push_back(
          {entry.at("address"), entry.at("idempotency_prefix")});
    }
    cached.until = Clock::now() + Milliseconds(answer.at("ttl_ms"));
  }
  return cached.entries;
}

bool LoadGenerator::Try(const Arrival& arrival,
                        const Entry& entry,
                        const std::string& request_id,
                        const std::string& idempotency_key,
                        RequestEnd* end,
                        const Yield& yield) {
  const TimePoint deadline = Clock::now() + plan_.timeout;
  const bool repeatable = !arrival.request->once || !idempotency_key.empty();
  const boost::asio::ip::tcp::endpoint endpoint = TcpEndpoint(entry.address);
  const Result<ConnectionPool::ConnectionPtr> acquired =
      pool_.Acquire(endpoint, "", deadline, LinkTimeouts(), yield);
  if (!acquired) {
    end->error = "connect_failed";
    end->verdict = Verdict::kNotRun;
    return true;
  }
  const ConnectionPool::ConnectionPtr& connection = acquired.value();
  const std::string body(arrival.request->body_bytes, 'q');
  Result<void> result = connection->BeginRequest(
      HeaderOf(arrival, entry, request_id, idempotency_key), body.data(),
      body.size(), true, yield);
  if (result) {
    result = connection->ReadHeader(yield);
  }
  if (!result) {
    end->error = "connection_broken";
    end->verdict = Verdict::kMayHaveRun;
    return repeatable;
  }
  std::string answer;
  std::string piece(kPiece, '\0');
  while (true) {
    const Result<size_t> size =
        connection->ReadBody(piece.data(), piece.size(), yield);
    if (!size) {
      end->error = "cut";
      end->verdict = Verdict::kRan;
      return repeatable;
    }
    if (size.value() == 0) {
      break;
    }
    answer.append(piece, 0, size.value());
  }
  const ResponseHeader header = connection->response();
  pool_.Release(endpoint, connection);
  if (header.count("X-Redwing-Verdict") == 0) {
    CheckAnswer(arrival, header, answer, end);
    return false;
  }
  const Failure failure = ParseRefusal(header.result_int(), answer);
  end->error = ErrcName(failure.errc);
  end->verdict = failure.verdict;
  // Over the rate is final; a place that cannot serve is worth another one.
  const bool elsewhere =
      failure.verdict == Verdict::kNotRun && header.result_int() == 503;
  const bool in_progress = failure.errc == Errc::kIdempotencyInProgress;
  return elsewhere || in_progress;
}

RequestHeader LoadGenerator::HeaderOf(
    const Arrival& arrival,
    const Entry& entry,
    const std::string& request_id,
    const std::string& idempotency_key) const {
  const LoadRequest& request = *arrival.request;
  const CallerGroup& group = plan_.groups[arrival.group];
  RequestHeader header;
  header.version(11);
  header.method_string(request.method);
  const std::string query =
      request.response_bytes > 0
          ? fmt::format("?bytes={}", request.response_bytes)
          : "";
  header.target(plan_.direct
                    ? request.path + query
                    : fmt::format("/v1/services/{}{}{}", request.service,
                                  request.path, query));
  header.set(http::field::host, entry.address);
  if (!group.key.empty()) {
    header.set(http::field::authorization, "Bearer " + group.key);
  }
  header.set("X-Token", arrival.token);
  header.set(BeastView(HeaderDialect().request_id), request_id);
  if (!idempotency_key.empty()) {
    header.set("Idempotency-Key", idempotency_key);
  }
  if (request.body_bytes > 0 || request.method == "POST") {
    header.set(http::field::content_length, std::to_string(request.body_bytes));
  }
  return header;
}

void LoadGenerator::CheckAnswer(const Arrival& arrival,
                                const ResponseHeader& header,
                                const std::string& body,
                                RequestEnd* end) const {
  end->verdict = Verdict::kRan;
  const std::string mark = arrival.token + "\n";
  if (header.result_int() >= 300) {
    end->error = fmt::format("status_{}", header.result_int());
  } else if (header["X-Token"] != arrival.token ||
             body.compare(0, mark.size(), mark) != 0) {
    end->error = "crossed";
  } else if (header["X-Checksum"] != std::to_string(Hash64(body))) {
    end->error = "damaged";
  } else {
    end->ok = true;
  }
}

void LoadGenerator::FetchRuns(const Yield& yield) {
  HttpConnection connection(io_, sockets_);
  const TimePoint deadline = Clock::now() + kRunsTimeout;
  const boost::asio::ip::tcp::endpoint endpoint = TcpEndpoint(plan_.runs_from);
  RequestHeader header;
  header.version(11);
  header.method(http::verb::get);
  header.target("/_control/runs");
  header.set(http::field::host, plan_.runs_from);
  if (!connection.Connect(endpoint, deadline, yield) ||
      !connection.BeginRequest(std::move(header), nullptr, 0, true, yield) ||
      !connection.ReadHeader(yield)) {
    return;
  }
  std::string body;
  std::string piece(kPiece, '\0');
  Result<size_t> size = connection.ReadBody(piece.data(), piece.size(), yield);
  while (size && size.value() > 0) {
    body.append(piece, 0, size.value());
    size = connection.ReadBody(piece.data(), piece.size(), yield);
  }
  const json runs = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (size && runs.is_array()) {
    report_.Join(runs);
  }
}

double LoadGenerator::SinceStart() const {
  return ToSeconds(Clock::now() - started_) * 1000;
}

}  // namespace redwing
