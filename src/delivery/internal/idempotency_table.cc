#include "delivery/internal/idempotency_table.h"

namespace redwing {

uint32_t IdempotencyTable::Epoch(TimePoint now) const {
  return static_cast<uint32_t>((now - started_) / kEpochLength) + 1;
}

bool IdempotencyTable::Accepts(uint32_t epoch, TimePoint now) const {
  const uint32_t current = Epoch(now);
  return epoch <= current && current - epoch < kEpochsKept;
}

Result<std::optional<KeyRecordEntry>> IdempotencyTable::Begin(
    const std::string& key,
    uint64_t fingerprint,
    TimePoint now) {
  EvictExpired(now);
  const auto known = entries_.find(key);
  if (known != entries_.end()) {
    if (known->second.fingerprint != fingerprint) {
      return NotRun(
          Errc::kIdempotencyMismatch,
          "the idempotency key was already used with another request");
    }
    return std::optional<KeyRecordEntry>(known->second);
  }
  if (entries_.size() >= kMaxEntries || bytes_ >= kMaxBytes) {
    return NotRun(Errc::kQueueFull, "the table of idempotency keys is full",
                  Milliseconds(10'000));
  }
  KeyRecordEntry entry;
  entry.fingerprint = fingerprint;
  entries_.emplace(key, std::move(entry));
  ages_.push_back({Epoch(now), key});
  return std::optional<KeyRecordEntry>();
}

void IdempotencyTable::Remove(const std::string& key) {
  entries_.erase(key);
}

void IdempotencyTable::MarkUnknown(const std::string& key) {
  const auto entry = entries_.find(key);
  if (entry != entries_.end()) {
    entry->second.state = KeyState::kOutcomeUnknown;
  }
}

void IdempotencyTable::Store(const std::string& key,
                             StoredResponse stored_response) {
  const auto entry = entries_.find(key);
  if (entry != entries_.end()) {
    bytes_ += stored_response.body.size();
    entry->second.state = KeyState::kAnswered;
    entry->second.stored_response = std::move(stored_response);
  }
}

void IdempotencyTable::EvictExpired(TimePoint now) {
  const uint32_t current = Epoch(now);
  // A key registered in an epoch carries that epoch or an earlier one.
  while (!ages_.empty() && current - ages_.front().epoch >= kEpochsKept) {
    const auto entry = entries_.find(ages_.front().key);
    if (entry != entries_.end()) {
      if (entry->second.stored_response) {
        bytes_ -= entry->second.stored_response->body.size();
      }
      entries_.erase(entry);
    }
    ages_.pop_front();
  }
}

}  // namespace redwing
