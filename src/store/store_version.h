#ifndef REDWING_STORE_STORE_VERSION_H_
#define REDWING_STORE_STORE_VERSION_H_

#include <algorithm>
#include <cstdint>

namespace redwing {

// Position in the history of the store. The era increases when the store is
// restored from an older copy; it then assigns revisions again that it had
// already assigned. Versions are ordered by era first, by revision second.
//
// Peers exchange versions as one number, which in the first era equals the
// revision: builds that know no eras order them correctly.
class StoreVersion {
 public:
  // Era of a store that was never restored, or that has no eras.
  static constexpr uint32_t kFirstEra = 1;
  static constexpr int kRevisionBits = 40;
  static constexpr uint64_t kMaxRevision = (uint64_t{1} << kRevisionBits) - 1;
  static constexpr uint32_t kMaxEra = uint32_t{1} << (64 - kRevisionBits);

  StoreVersion() = default;
  // Eras below kFirstEra count as kFirstEra. Values beyond the maximum are
  // clamped to it.
  StoreVersion(uint32_t era, uint64_t revision)
      : packed_((uint64_t{std::clamp(era, kFirstEra, kMaxEra) - kFirstEra}
                 << kRevisionBits) |
                std::min(revision, kMaxRevision)) {}

  static StoreVersion FromPacked(uint64_t packed) {
    StoreVersion version;
    version.packed_ = packed;
    return version;
  }

  uint32_t era() const {
    return static_cast<uint32_t>(packed_ >> kRevisionBits) + kFirstEra;
  }
  uint64_t revision() const { return packed_ & kMaxRevision; }
  // Number that is ordered as the version.
  uint64_t packed() const { return packed_; }

  bool operator==(const StoreVersion& other) const {
    return packed_ == other.packed_;
  }
  bool operator<(const StoreVersion& other) const {
    return packed_ < other.packed_;
  }
  bool operator<=(const StoreVersion& other) const {
    return packed_ <= other.packed_;
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(packed_);
  }

 private:
  uint64_t packed_ = 0;
};

}  // namespace redwing

#endif  // REDWING_STORE_STORE_VERSION_H_
