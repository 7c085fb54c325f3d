#include "framework/http/refusal.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "framework/http/http_exchange.h"
#include "framework/wire/json_text.h"

namespace redwing {

namespace {

constexpr int64_t kMillisPerSecond = 1000;

int64_t RetryAfterSeconds(const Failure& failure) {
  return std::max<int64_t>(
      1,
      (failure.retry_after.count() + kMillisPerSecond - 1) / kMillisPerSecond);
}

// Returns the status of a failure: a promise that nothing was run where that is
// known, and never where it is not.
unsigned StatusOf(const Failure& failure) {
  constexpr unsigned kBadGateway = 502;
  constexpr unsigned kUnavailable = 503;
  const unsigned status = ErrcHttpStatus(failure.errc);
  if (failure.verdict == Verdict::kNotRun && status == kBadGateway) {
    return kUnavailable;
  }
  return failure.verdict != Verdict::kNotRun && PromisesNotRun(status)
             ? kBadGateway
             : status;
}

// Throws nlohmann::json::exception when a field is of another type.
void ReadRefusal(const nlohmann::json& json, Failure* failure) {
  failure->errc = ErrcFromName(json.value("error", ""));
  failure->detail = json.value("detail", "");
  failure->retry_after = Milliseconds(json.value("retry_after_ms", 0));
  failure->verdict = VerdictFromName(json.value("verdict", ""));
}

}  // namespace

bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string RefusalBody(const Failure& failure) {
  nlohmann::json body = {{"error", ErrcName(failure.errc)},
                         {"verdict", VerdictName(failure.verdict)},
                         {"detail", failure.detail}};
  if (failure.retry_after.count() > 0) {
    body["retry_after_ms"] = failure.retry_after.count();
  }
  return JsonText(body);
}

ResponseHeader RefusalHeader(const Failure& failure) {
  ResponseHeader header;
  header.version(11);
  header.result(StatusOf(failure));
  header.set(http::field::content_type, "application/json");
  header.set("X-Redwing-Verdict", BeastView(VerdictName(failure.verdict)));
  if (failure.retry_after.count() > 0) {
    header.set(http::field::retry_after,
               std::to_string(RetryAfterSeconds(failure)));
  }
  return header;
}

std::string RefusalText(const Failure& failure) {
  const std::string body = RefusalBody(failure);
  const unsigned status = StatusOf(failure);
  return fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
      "X-Redwing-Verdict: {}\r\nContent-Length: {}\r\n"
      "Connection: close\r\n\r\n{}",
      status, StdView(http::obsolete_reason(http::int_to_status(status))),
      VerdictName(failure.verdict), body.size(), body);
}

void SendRefusal(HttpExchange& exchange,
                 const Failure& failure,
                 const Yield& yield) {
  ResponseHeader header = RefusalHeader(failure);
  if (exchange.fractional_retry_after() && failure.retry_after.count() > 0) {
    header.set(http::field::retry_after,
               fmt::format("{:.3f}", ToSeconds(failure.retry_after)));
  }
  exchange.Respond(std::move(header), RefusalBody(failure), yield);
}

Failure ParseRefusal(unsigned status, const std::string& body) {
  const nlohmann::json json =
      nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  const Failure no_refusal = MayHaveRun(
      Errc::kInternal, fmt::format("status {} without an error name", status));
  if (!json.is_object() || !json.contains("error")) {
    return no_refusal;
  }
  Failure failure;
  try {
    ReadRefusal(json, &failure);
  } catch (const nlohmann::json::exception&) {
    return no_refusal;
  }
  return failure;
}

}  // namespace redwing
