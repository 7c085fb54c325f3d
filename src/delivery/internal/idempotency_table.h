#ifndef REDWING_DELIVERY_INTERNAL_IDEMPOTENCY_TABLE_H_
#define REDWING_DELIVERY_INTERNAL_IDEMPOTENCY_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

// A complete response that is kept for replay.
struct StoredResponse {
  ResponseHeader header;
  std::string body;
};

enum class KeyState { kRunning, kAnswered, kOutcomeUnknown };

// State of a request with an idempotency key that this process has accepted.
struct KeyRecordEntry {
  KeyState state = KeyState::kRunning;
  uint64_t fingerprint = 0;
  std::optional<StoredResponse> stored_response;
};

// Records the requests with idempotency keys that this process runs or has run.
// Time is divided into epochs: a key carries the epoch in which its prefix was
// issued, and is accepted and kept for kEpochsKept epochs, so that no key is
// evicted while it is still accepted.
class IdempotencyTable {
 public:
  static constexpr Milliseconds kEpochLength{300'000};
  static constexpr uint32_t kEpochsKept = 3;
  static constexpr size_t kMaxEntries = 50'000;
  static constexpr size_t kMaxBytes = 16 * 1024 * 1024;
  static constexpr size_t kMaxResponse = 256 * 1024;  // bytes

  explicit IdempotencyTable(TimePoint started) : started_(started) {}

  uint32_t Epoch(TimePoint now) const;
  // Returns whether keys of an epoch are accepted.
  bool Accepts(uint32_t epoch, TimePoint now) const;

  // Registers a key. Returns std::nullopt if the key is new and its request is
  // to be run, or the existing entry. Fails with kIdempotencyMismatch if the
  // key was used with a different request, with kQueueFull if the table is
  // full.
  Result<std::optional<KeyRecordEntry>> Begin(const std::string& key,
                                              uint64_t fingerprint,
                                              TimePoint now);
  // Removes a key whose request did not run, so that the key can be used again.
  void Remove(const std::string& key);
  // Records that the request may have run and its response is unknown.
  void MarkUnknown(const std::string& key);
  void Store(const std::string& key, StoredResponse stored_response);

  size_t size() const { return entries_.size(); }

 private:
  struct Age {
    uint32_t epoch;
    std::string key;
  };

  void EvictExpired(TimePoint now);

  TimePoint started_;
  std::map<std::string, KeyRecordEntry> entries_;
  std::deque<Age> ages_;
  size_t bytes_ = 0;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_IDEMPOTENCY_TABLE_H_
