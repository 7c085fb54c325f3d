#include <random>

#include "budget/share_bucket.h"
#include "steering/client_block.h"
#include "steering/client_block_table.h"
#include "testing/bench/scenarios.h"

namespace redwing::testing {

using nlohmann::json;

namespace {

// Nanoseconds of each of `count` operations that began at `begun`.
double NanosecondsEach(TimePoint begun, int count) {
  return ToSeconds(Clock::now() - begun) * 1e9 / count;
}

}  // namespace

json MeasureClientBlocks(const BenchOptions& /*options*/) {
  constexpr int kBlocks = 1'400'000;
  constexpr int kSites = 2'200;
  constexpr int kLookUps = 5'000'000;
  std::mt19937 random(1);
  std::vector<ClientBlock> blocks;
  blocks.reserve(kBlocks);
  for (int i = 0; i < kBlocks; ++i) {
    const int prefix_length = 16 + static_cast<int>(random() % 9);
    const uint32_t mask = UINT32_MAX << (32 - prefix_length);
    blocks.push_back({boost::asio::ip::address_v4(random() & mask),
                      prefix_length, std::to_string(random() % kSites)});
  }
  const TimePoint build_begun = Clock::now();
  const ClientBlockTable table(blocks);
  const double build_s = ToSeconds(Clock::now() - build_begun);
  std::vector<boost::asio::ip::address> clients;
  clients.reserve(kLookUps);
  for (int i = 0; i < kLookUps; ++i) {
    clients.emplace_back(boost::asio::ip::address_v4(random()));
  }
  size_t found = 0;
  const TimePoint begun = Clock::now();
  for (const boost::asio::ip::address& client : clients) {
    found += table.Find(client).empty() ? 0 : 1;
  }
  return {{"blocks", kBlocks},
          {"bytes", table.ByteSize()},
          {"build_s", build_s},
          {"look_up_ns", NanosecondsEach(begun, kLookUps)},
          {"found_part", static_cast<double>(found) / kLookUps}};
}

json MeasureAdmission(const BenchOptions& /*options*/) {
  constexpr int kAdmissions = 5'000'000;
  const TimePoint start = Clock::now();
  ShareBucket bucket({"b", BudgetScope::kFleet, 1e9, 1e9}, start);
  bucket.SetOwnShare(0.5, start);
  for (uint64_t id = 1; id <= 3; ++id) {
    bucket.Borrow({id, "peer", 0.1, start + std::chrono::hours(1)}, 1e8, start);
  }
  int admitted = 0;
  const TimePoint begun = Clock::now();
  for (int i = 0; i < kAdmissions; ++i) {
    admitted += bucket.TrySpend(1, Clock::now()) ? 1 : 0;
  }
  return {{"admitted", admitted},
          {"admission_ns", NanosecondsEach(begun, kAdmissions)}};
}

}  // namespace redwing::testing
