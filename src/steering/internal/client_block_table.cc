#include "steering/client_block_table.h"

#include <algorithm>
#include <limits>
#include <map>

#include "steering/client_block.h"

namespace redwing {

namespace {

constexpr uint16_t kNoRegion = std::numeric_limits<uint16_t>::max();
constexpr int kV4Bits = 32;
// Bits of an IPv6 address that the table looks at.
constexpr int kV6Bits = 64;

uint64_t UpperHalf(const boost::asio::ip::address_v6& address) {
  uint64_t half = 0;
  const boost::asio::ip::address_v6::bytes_type bytes = address.to_bytes();
  for (size_t i = 0; i < sizeof(half); ++i) {
    half = half << 8 | bytes[i];
  }
  return half;
}

// Returns the bits that vary within a block.
template <typename Key>
Key HostMask(int prefix_length, int bits) {
  return prefix_length >= bits
             ? 0
             : std::numeric_limits<Key>::max() >> std::min(prefix_length, bits);
}

}  // namespace

ClientBlockTable::ClientBlockTable(const std::vector<ClientBlock>& blocks) {
  std::map<std::string, uint16_t, std::less<>> numbers;
  std::vector<Interval<uint32_t>> v4;
  std::vector<Interval<uint64_t>> v6;
  for (const ClientBlock& block : blocks) {
    const auto number = numbers.emplace(
        block.region, static_cast<uint16_t>(region_names_.size()));
    if (number.second) {
      region_names_.push_back(block.region);
    }
    const uint16_t region = number.first->second;
    if (block.address.is_v4()) {
      const uint32_t mask = HostMask<uint32_t>(block.prefix_length, kV4Bits);
      const uint32_t first = block.address.to_v4().to_uint() & ~mask;
      v4.push_back({first, first | mask, region});
    } else {
      const uint64_t mask = HostMask<uint64_t>(block.prefix_length, kV6Bits);
      const uint64_t first = UpperHalf(block.address.to_v6()) & ~mask;
      v6.push_back({first, first | mask, region});
    }
  }
  v4_ = Flatten(std::move(v4));
  v6_ = Flatten(std::move(v6));
}

std::string_view ClientBlockTable::Find(
    const boost::asio::ip::address& address) const {
  if (address.is_v4()) {
    return RegionAt(v4_, address.to_v4().to_uint());
  }
  return RegionAt(v6_, UpperHalf(address.to_v6()));
}

size_t ClientBlockTable::ByteSize() const {
  return v4_.firsts.capacity() * sizeof(uint32_t) +
         v6_.firsts.capacity() * sizeof(uint64_t) +
         (v4_.regions.capacity() + v6_.regions.capacity()) * sizeof(uint16_t);
}

template <typename Key>
ClientBlockTable::Ranges<Key> ClientBlockTable::Flatten(
    std::vector<Interval<Key>> intervals) {
  // Blocks are nested or apart, so outer ones come before those they hold.
  std::sort(intervals.begin(), intervals.end(),
            [](const Interval<Key>& a, const Interval<Key>& b) {
              return a.first != b.first ? a.first < b.first : a.last > b.last;
            });
  Ranges<Key> ranges;
  const auto begin_range = [&ranges](Key first, uint16_t region) {
    if (!ranges.firsts.empty() && ranges.firsts.back() == first) {
      ranges.regions.back() = region;
    } else {
      ranges.firsts.push_back(first);
      ranges.regions.push_back(region);
    }
  };
  std::vector<Interval<Key>> open;
  const auto end_innermost = [&open, &begin_range]() {
    const Key last = open.back().last;
    open.pop_back();
    if (last != std::numeric_limits<Key>::max()) {
      begin_range(last + 1, open.empty() ? kNoRegion : open.back().region);
    }
  };
  for (const Interval<Key>& interval : intervals) {
    while (!open.empty() && open.back().last < interval.first) {
      end_innermost();
    }
    begin_range(interval.first, interval.region);
    open.push_back(interval);
  }
  while (!open.empty()) {
    end_innermost();
  }
  ranges.firsts.shrink_to_fit();
  ranges.regions.shrink_to_fit();
  return ranges;
}

template <typename Key>
std::string_view ClientBlockTable::RegionAt(const Ranges<Key>& ranges,
                                            Key key) const {
  const auto next =
      std::upper_bound(ranges.firsts.begin(), ranges.firsts.end(), key);
  if (next == ranges.firsts.begin()) {
    return {};
  }
  const uint16_t region =
      ranges.regions[static_cast<size_t>(next - ranges.firsts.begin() - 1)];
  return region == kNoRegion ? std::string_view() : region_names_[region];
}

}  // namespace redwing
