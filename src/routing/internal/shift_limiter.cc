#include "routing/shift_limiter.h"

#include <algorithm>
#include <numeric>

namespace redwing {

namespace {
// With fewer requests than this in a window, fractions are not meaningful.
constexpr double kMinRequests = 8;
// Requests that may shift beyond the fraction: if there are few, each one is a
// large fraction.
constexpr double kSlack = 2;
// The same for the surplus, which accumulates over more than one window.
constexpr double kSurplusSlack = 1;

double Total(const std::vector<double>& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0.0);
}

void AddTo(std::vector<double>* sum,
           const std::vector<double>& counts,
           double sign) {
  sum->resize(std::max(sum->size(), counts.size()));
  for (size_t i = 0; i < counts.size(); ++i) {
    (*sum)[i] += sign * counts[i];
  }
}
}  // namespace

ShiftLimiter::Bounds ShiftLimiter::BoundsAt(TimePoint now) {
  Advance(now);
  const double all_before = Total(before_);
  if (max_change_ <= 0 || all_before < kMinRequests) {
    return {};
  }
  const double all = Total(current_) + 1;
  const size_t count = std::max(current_.size(), before_.size());
  current_.resize(count);
  before_.resize(count);
  // Returns the increase of a region's fraction of all requests.
  const auto gain = [this, all, all_before](size_t region, double more) {
    return std::max(
        0.0, (current_[region] + more) / all - before_[region] / all_before);
  };
  double moved = 0;
  for (size_t i = 0; i < count; ++i) {
    moved += gain(i, 0);
  }
  const double most = max_change_ + kSlack / all;
  const double most_surplus = std::max(Total(surplus_), kSurplusSlack);
  Bounds bounds;
  bounds.others_allowed =
      moved + 1 / all <= most && Total(SurplusAfter(count, 1)) <= most_surplus;
  for (size_t i = 0; i < count; ++i) {
    const double added = gain(i, 1) - gain(i, 0);
    bounds.allowed.push_back((added <= 0 || moved + added <= most) &&
                             Total(SurplusAfter(i, 1)) <= most_surplus);
  }
  return bounds;
}

ShiftLimiter::Counts ShiftLimiter::SurplusAfter(size_t region,
                                                double requests) const {
  const double all_before = Total(before_);
  if (max_change_ <= 0 || all_before < kMinRequests) {
    return {};
  }
  Counts surplus = surplus_;
  surplus.resize(std::max({surplus_.size(), before_.size(), region + 1}));
  surplus[region] += requests;
  const double all = Total(surplus);
  for (size_t i = 0; i < surplus.size(); ++i) {
    const double before = i < before_.size() ? before_[i] / all_before : 0;
    const double may_move = all > 0 ? max_change_ * surplus[i] / all : 0;
    surplus[i] = std::max(0.0, surplus[i] - requests * (before + may_move));
  }
  return surplus;
}

void ShiftLimiter::Count(size_t region, double requests, TimePoint now) {
  Advance(now);
  Counts counts(region + 1);
  counts[region] = requests;
  AddTo(&SliceAt(newest_), counts, 1);
  AddTo(&current_, counts, 1);
  surplus_ = SurplusAfter(region, requests);
}

void ShiftLimiter::Advance(TimePoint now) {
  const int64_t slice =
      now.time_since_epoch() / (kWindow / static_cast<int64_t>(kSlices));
  const int64_t size = static_cast<int64_t>(slices_.size());
  if (slice - newest_ >= size) {
    slices_ = {};
    current_.clear();
    before_.clear();
    surplus_.clear();
    newest_ = slice;
    return;
  }
  while (newest_ < slice) {
    ++newest_;
    // The oldest slice of the newest window moves to the window before, whose
    // own oldest slice is discarded and its place in the ring reused.
    Counts& oldest = SliceAt(newest_);
    AddTo(&before_, oldest, -1);
    oldest.clear();
    const Counts& passed = SliceAt(newest_ - static_cast<int64_t>(kSlices));
    AddTo(&before_, passed, 1);
    AddTo(&current_, passed, -1);
  }
}

}  // namespace redwing
