#include "delivery/internal/request_body.h"

#include "framework/http/http_exchange.h"

namespace redwing {

Result<void> RequestBody::Prefetch(size_t max_bytes, const Yield& yield) {
  if (!exchange_.has_body()) {
    complete_ = true;
    return boost::outcome_v2::success();
  }
  const std::optional<uint64_t> length = exchange_.content_length();
  if (length && *length > limit_) {
    return NotRun(Errc::kBodyTooLarge, "request body is too large");
  }
  while (buffered_.size() < max_bytes) {
    const Result<std::string_view> piece = Next(yield);
    if (!piece) {
      return piece.error();
    }
    if (piece.value().empty()) {
      complete_ = true;
      break;
    }
    buffered_.append(piece.value());
    if (!exchange_.has_body()) {
      complete_ = true;
      break;
    }
  }
  streamed_ = false;
  return boost::outcome_v2::success();
}

Result<std::string_view> RequestBody::Next(const Yield& yield) {
  streamed_ = true;
  piece_.resize(kPiece);
  const Result<size_t> size =
      exchange_.ReadBody(piece_.data(), piece_.size(), yield);
  if (!size) {
    return size.error();
  }
  read_ += size.value();
  if (read_ > limit_) {
    return NotRun(Errc::kBodyTooLarge, "request body is too large");
  }
  return std::string_view(piece_.data(), size.value());
}

}  // namespace redwing
