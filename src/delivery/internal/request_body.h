#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_BODY_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_BODY_H_

#include <memory>
#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class HttpExchange;

// The body of a request. Its first bytes are buffered, so that a small request
// can be sent again; the rest is streamed once.
class RequestBody {
 public:
  static constexpr size_t kPrefetch = 64 * 1024;  // bytes
  static constexpr size_t kPiece = 16 * 1024;     // bytes

  RequestBody(HttpExchange& exchange, uint64_t limit)
      : exchange_(exchange), limit_(limit) {}

  // Reads up to about `max_bytes` bytes into the buffer. Fails with
  // kBodyTooLarge if the body exceeds the limit.
  Result<void> Prefetch(size_t max_bytes, const Yield& yield);

  std::string_view buffered() const { return buffered_; }
  // Returns whether buffered() is the complete body.
  bool complete() const { return complete_; }
  // Returns whether the body can be sent again from its start.
  bool replayable() const { return !streamed_; }
  // Reads the next piece after the buffered bytes; empty at the end of the
  // body. The view is valid until the next call.
  Result<std::string_view> Next(const Yield& yield);

 private:
  HttpExchange& exchange_;
  uint64_t limit_;
  uint64_t read_ = 0;
  std::string buffered_;
  std::string piece_;
  bool complete_ = false;
  bool streamed_ = false;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_BODY_H_
