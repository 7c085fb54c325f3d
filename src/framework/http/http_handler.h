#ifndef REDWING_FRAMEWORK_HTTP_HTTP_HANDLER_H_
#define REDWING_FRAMEWORK_HTTP_HTTP_HANDLER_H_

#include "framework/http/http_types.h"

namespace redwing {

class HttpExchange;

// Answers the requests that an HttpServer receives.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  // Answers one request. When it returns without having begun a response, or
  // with one unfinished, the connection is closed.
  virtual void Handle(HttpExchange& exchange, const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HTTP_HANDLER_H_
