#include "framework/http/metrics_handler.h"

#include "framework/http/http_exchange.h"
#include "framework/metrics/metrics.h"

namespace redwing {

namespace {
constexpr std::string_view kPrometheus = "text/plain; version=0.0.4";
}  // namespace

void MetricsHandler::Handle(HttpExchange& exchange, const Yield& yield) {
  exchange.Respond(200, kPrometheus, metrics_->PrometheusText(), yield);
}

}  // namespace redwing
