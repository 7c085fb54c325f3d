#include "delivery/internal/request_trail.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace redwing {

namespace {

constexpr size_t kMaxId = 128;    // bytes
constexpr size_t kMaxText = 768;  // bytes

void Truncate(std::string* text, size_t size) {
  if (text->size() > size) {
    text->resize(size);
  }
}

}  // namespace

RequestTrail::RequestTrail(size_t capacity) : capacity_(capacity) {}

void RequestTrail::Add(RequestDecision decision) {
  Truncate(&decision.request_id, kMaxId);
  Truncate(&decision.text, kMaxText);
  if (decisions_.size() < capacity_) {
    decisions_.push_back(std::move(decision));
  } else if (capacity_ > 0) {
    decisions_[next_] = std::move(decision);
    next_ = (next_ + 1) % capacity_;
  }
}

std::vector<RequestDecision> RequestTrail::Find(
    std::string_view request_id) const {
  const std::string_view id = request_id.substr(0, kMaxId);
  const auto oldest = decisions_.begin() + static_cast<std::ptrdiff_t>(next_);
  std::vector<RequestDecision> found;
  const auto is_wanted = [id](const RequestDecision& decision) {
    return decision.request_id == id;
  };
  std::copy_if(oldest, decisions_.end(), std::back_inserter(found), is_wanted);
  std::copy_if(decisions_.begin(), oldest, std::back_inserter(found),
               is_wanted);
  return found;
}

}  // namespace redwing
