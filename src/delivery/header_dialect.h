#ifndef REDWING_DELIVERY_HEADER_DIALECT_H_
#define REDWING_DELIVERY_HEADER_DIALECT_H_

#include <string>

namespace redwing {

// Names of the header fields that callers and targets use. A binding to a
// platform with different names replaces them.
struct HeaderDialect {
  // Request id and affinity key: sent by callers and forwarded to targets.
  std::string request_id = "X-Request-Id";
  std::string affinity_key = "X-Affinity-Key";
  // Sent by callers: how long they wait for the response, in milliseconds.
  std::string caller_timeout = "X-Request-Timeout-Ms";
  // Sent to targets: time until the request's deadline, in milliseconds.
  std::string target_deadline = "X-Redwing-Deadline-Ms";
  // Sent to targets: workspace of the API key that the request carried.
  std::string workspace = "X-Redwing-Workspace";
  // Sent to targets: name of the addressed target; a different target replies
  // with status 421 and does not run the request. Empty: not sent.
  std::string target_instance;
  // Sent by targets: the request was not run.
  std::string not_run = "X-Request-Not-Run";
  // Sent by targets: signature of a successful response; a success without it
  // is treated as broken. Empty: no signature is required.
  std::string signature;
  // Sent by targets: their load as "running,waiting,slots". Empty: not
  // reported.
  std::string load;
  // Sent by targets in any response: "1" announces the target's departure.
  // Empty: departures are not announced.
  std::string target_leaving = "X-Target-Leaving";
  // Sent by targets in any response: the requests per second that the target
  // accepts from all instances together, a decimal number, for as long as its
  // responses contain it. Empty: rate limits are not announced.
  std::string target_rate_limit = "X-Target-Rate-Limit";
  // Targets echo the request id, so that a response to another request is
  // detected by its id.
  bool targets_echo_request_id = false;
  // Accepts a response with neither length nor chunked framing, whose end is
  // the orderly close of the connection; a connection reset does not end it.
  bool accepts_unframed_responses = false;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_HEADER_DIALECT_H_
