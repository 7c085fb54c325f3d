#include "steering/client_block_table.h"

#include <catch2/catch.hpp>
#include <random>

#include "steering/client_block.h"

namespace redwing {
namespace {

using boost::asio::ip::make_address;

TEST_CASE("the smallest block that holds an address counts") {
  const ClientBlockTable table({{make_address("10.0.0.0"), 8, "wide"},
                                {make_address("10.1.0.0"), 16, "narrow"},
                                {make_address("10.1.255.0"), 24, "last"},
                                {make_address("255.255.255.255"), 32, "top"},
                                {make_address("2001:db8::"), 32, "six"}});
  CHECK(table.Find(make_address("9.255.255.255")).empty());
  CHECK(table.Find(make_address("10.0.0.0")) == "wide");
  CHECK(table.Find(make_address("10.1.0.0")) == "narrow");
  CHECK(table.Find(make_address("10.1.255.7")) == "last");
  CHECK(table.Find(make_address("10.2.0.0")) == "wide");
  CHECK(table.Find(make_address("11.0.0.0")).empty());
  CHECK(table.Find(make_address("255.255.255.255")) == "top");
  CHECK(table.Find(make_address("2001:db8:1::1")) == "six");
  CHECK(table.Find(make_address("2001:db9::")).empty());
  CHECK(ClientBlockTable().Find(make_address("10.0.0.1")).empty());
}

TEST_CASE("random blocks are found as by a search through all of them") {
  const uint32_t seed = GENERATE(range<uint32_t>(1, 11));
  CAPTURE(seed);
  std::mt19937 random(seed);
  std::vector<ClientBlock> blocks;
  for (int i = 0; i < 200; ++i) {
    // Few bits vary, so that blocks are nested often.
    const int prefix_length = static_cast<int>(random() % 33);
    const uint32_t mask =
        prefix_length == 0 ? 0 : UINT32_MAX << (32 - prefix_length);
    const uint32_t first = (random() & 0xF0000F0F) & mask;
    blocks.push_back(
        {boost::asio::ip::address_v4(first), prefix_length,
         std::to_string(first) + "/" + std::to_string(prefix_length)});
  }
  const ClientBlockTable table(blocks);
  for (int i = 0; i < 2000; ++i) {
    const uint32_t key = random() & 0xF0000F0F;
    std::string expected;
    int longest = -1;
    for (const ClientBlock& block : blocks) {
      const uint32_t mask = block.prefix_length == 0
                                ? 0
                                : UINT32_MAX << (32 - block.prefix_length);
      if (block.prefix_length > longest &&
          (key & mask) == block.address.to_v4().to_uint()) {
        longest = block.prefix_length;
        expected = block.region;
      }
    }
    REQUIRE(table.Find(boost::asio::ip::address_v4(key)) == expected);
  }
}

}  // namespace
}  // namespace redwing
