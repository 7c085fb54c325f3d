#ifndef REDWING_FRAMEWORK_HTTP_METRICS_HANDLER_H_
#define REDWING_FRAMEWORK_HTTP_METRICS_HANDLER_H_

#include <memory>

#include "framework/http/http_handler.h"

namespace redwing {

class Metrics;

// Answers every request with a process's metrics.
class MetricsHandler : public HttpHandler {
 public:
  explicit MetricsHandler(std::shared_ptr<Metrics> metrics)
      : metrics_(std::move(metrics)) {}

  void Handle(HttpExchange& exchange, const Yield& yield) override;

 private:
  std::shared_ptr<Metrics> metrics_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_METRICS_HANDLER_H_
