#ifndef REDWING_DELIVERY_HEADER_DIALECT_H_
#define REDWING_DELIVERY_HEADER_DIALECT_H_

#include <string>

namespace redwing {

// Names of the header fields that callers and targets use. A binding to a
// platform with names of its own replaces them.
struct HeaderDialect {
  // From callers, handed on to targets.
  std::string request_id = "X-Request-Id";
  std::string affinity_key = "X-Affinity-Key";
  // From callers: the time they wait, in milliseconds.
  std::string caller_timeout = "X-Request-Timeout-Ms";
  // To targets: the time left, in milliseconds.
  std::string target_deadline = "X-Redwing-Deadline-Ms";
  // To targets: the workspace whose key came with the request.
  std::string workspace = "X-Redwing-Workspace";
  // To targets: which of them is meant; another one answers 421 and does not
  // run the request. Empty: not sent.
  std::string target_instance;
  // From targets: the request was not run.
  std::string not_run = "X-Request-Not-Run";
  // From targets: proves a success; without it an answer is broken. Empty: not
  // asked for.
  std::string signature;
  // From targets: "running,waiting,slots". Empty: not reported.
  std::string load;
  // From targets, in any answer: "1" says that the target leaves. Empty: not
  // said.
  std::string target_leaving = "X-Target-Leaving";
  // Targets echo the request id, so that a foreign answer is told by it.
  bool targets_echo_request_id = false;
  // An answer without a length ends with its connection; a reset is no end.
  bool accepts_unframed_answers = false;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_HEADER_DIALECT_H_
