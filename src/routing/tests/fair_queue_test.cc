#include "routing/fair_queue.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

namespace redwing {
namespace {

FairQueue::WaiterPtr MakeWaiter(boost::asio::io_context& io,
                                const std::string& workspace,
                                double weight) {
  SlotRequest request;
  request.workspace = workspace;
  request.weight = weight;
  return std::make_shared<SlotWaiter>(io, request, TimePoint());
}

TEST_CASE("workspaces are served by weight, whatever they send") {
  boost::asio::io_context io;
  FairQueue queue(1000);
  for (int i = 0; i < 500; ++i) {
    REQUIRE(queue.Push(MakeWaiter(io, "loud", 1)));
  }
  for (int i = 0; i < 100; ++i) {
    REQUIRE(queue.Push(MakeWaiter(io, "quiet", 1)));
    REQUIRE(queue.Push(MakeWaiter(io, "heavy", 2)));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 200; ++i) {
    const FairQueue::WaiterPtr head = queue.Heads().front();
    ++served[head->request.workspace];
    queue.Serve(head);
  }
  CHECK(served["loud"] == Approx(50).margin(2));
  CHECK(served["quiet"] == Approx(50).margin(2));
  CHECK(served["heavy"] == Approx(100).margin(2));
}

TEST_CASE("a workspace's queue is bounded and gives up its place") {
  boost::asio::io_context io;
  FairQueue queue(2);
  const FairQueue::WaiterPtr first = MakeWaiter(io, "a", 1);
  CHECK(queue.Push(first));
  CHECK(queue.Push(MakeWaiter(io, "a", 1)));
  CHECK_FALSE(queue.Push(MakeWaiter(io, "a", 1)));
  CHECK(queue.Push(MakeWaiter(io, "b", 1)));
  queue.Remove(first);
  CHECK(queue.size() == 2);
  CHECK(queue.Push(MakeWaiter(io, "a", 1)));
}

TEST_CASE("a workspace that cannot be served does not hold up the others") {
  boost::asio::io_context io;
  FairQueue queue(10);
  REQUIRE(queue.Push(MakeWaiter(io, "broke", 4)));
  REQUIRE(queue.Push(MakeWaiter(io, "paying", 1)));
  REQUIRE(queue.Push(MakeWaiter(io, "paying", 1)));
  const std::vector<FairQueue::WaiterPtr> heads = queue.Heads();
  REQUIRE(heads.size() == 2);
  CHECK(heads[0]->request.workspace == "broke");
  queue.Serve(heads[1]);
  CHECK(queue.size() == 2);
  CHECK(queue.Heads()[0] == heads[0]);
}

}  // namespace
}  // namespace redwing
