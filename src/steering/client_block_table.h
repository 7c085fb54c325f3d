#ifndef REDWING_STEERING_CLIENT_BLOCK_TABLE_H_
#define REDWING_STEERING_CLIENT_BLOCK_TABLE_H_

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

struct ClientBlock;

// Finds the region of a client address: the smallest block that holds it
// counts. Nested blocks are flattened into sorted ranges, so a look-up is one
// binary search over a flat array. IPv6 blocks are told apart by their upper
// 64 bits.
class ClientBlockTable {
 public:
  ClientBlockTable() = default;
  explicit ClientBlockTable(const std::vector<ClientBlock>& blocks);

  // Returns the region; empty when no block holds the address.
  std::string_view Find(const boost::asio::ip::address& address) const;

  // Memory of the ranges, in bytes.
  size_t ByteSize() const;

 private:
  // Ranges begin at `firsts` and end where the next one begins.
  template <typename Key>
  struct Ranges {
    std::vector<Key> firsts;
    std::vector<uint16_t> regions;
  };
  template <typename Key>
  struct Interval {
    Key first;
    Key last;
    uint16_t region;
  };

  template <typename Key>
  static Ranges<Key> Flatten(std::vector<Interval<Key>> intervals);
  template <typename Key>
  std::string_view RegionAt(const Ranges<Key>& ranges, Key key) const;

  std::vector<std::string> region_names_;
  Ranges<uint32_t> v4_;
  Ranges<uint64_t> v6_;
};

}  // namespace redwing

#endif  // REDWING_STEERING_CLIENT_BLOCK_TABLE_H_
