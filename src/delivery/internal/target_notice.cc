#include "delivery/internal/target_notice.h"

#include "delivery/header_dialect.h"
#include "framework/http/decimal.h"
#include "framework/http/retry_after.h"
#include "framework/log/log.h"
#include "routing/target_rate_limits.h"

namespace redwing {

namespace {
constexpr std::string_view kTrue = "1";

std::optional<double> ReadRateLimit(const ResponseHeader& header,
                                    const HeaderDialect& dialect) {
  if (dialect.target_rate_limit.empty() ||
      header.count(dialect.target_rate_limit) == 0) {
    return kNoRateLimit;
  }
  const std::string_view text =
      StdView(header[BeastView(dialect.target_rate_limit)]);
  const std::optional<double> rate = ParseDecimal(text);
  if (!rate) {
    spdlog::warn("event=rate_limit_refused request={} value={}",
                 Quoted(StdView(header[BeastView(dialect.request_id)])),
                 Quoted(text));
  }
  return rate;
}
}  // namespace

TargetNotice TargetNotice::Read(const ResponseHeader& header,
                                const HeaderDialect& dialect) {
  TargetNotice notice;
  notice.leaving = !dialect.target_leaving.empty() &&
                   StdView(header[BeastView(dialect.target_leaving)]) == kTrue;
  notice.rate_limit = ReadRateLimit(header, dialect);
  if (header.result() != http::status::service_unavailable ||
      header.count(http::field::retry_after) == 0) {
    return notice;
  }
  const std::string_view text = StdView(header[http::field::retry_after]);
  notice.backoff = ParseRetryAfter(text);
  if (!notice.backoff) {
    spdlog::warn("event=retry_after_refused request={} value={}",
                 Quoted(StdView(header[BeastView(dialect.request_id)])),
                 Quoted(text));
  }
  return notice;
}

}  // namespace redwing
