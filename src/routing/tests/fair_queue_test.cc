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

TEST_CASE("workspaces are served by weight regardless of their load") {
  boost::asio::io_context io;
  FairQueue queue(1000);
  for (int i = 0; i < 500; ++i) {
    REQUIRE(queue.Push(MakeWaiter(io, "over_rate", 1)));
  }
  for (int i = 0; i < 100; ++i) {
    REQUIRE(queue.Push(MakeWaiter(io, "light", 1)));
    REQUIRE(queue.Push(MakeWaiter(io, "heavy", 2)));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 200; ++i) {
    const FairQueue::WaiterPtr head = queue.Heads().front();
    ++served[head->request.workspace];
    queue.Serve(head);
  }
  CHECK(served["over_rate"] == Approx(50).margin(2));
  CHECK(served["light"] == Approx(50).margin(2));
  CHECK(served["heavy"] == Approx(100).margin(2));
}

TEST_CASE(
    "a workspace's queue is bounded and a removed waiter frees an entry") {
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

TEST_CASE("a workspace that cannot be served does not block the others") {
  boost::asio::io_context io;
  FairQueue queue(10);
  REQUIRE(queue.Push(MakeWaiter(io, "no_tokens", 4)));
  REQUIRE(queue.Push(MakeWaiter(io, "has_tokens", 1)));
  REQUIRE(queue.Push(MakeWaiter(io, "has_tokens", 1)));
  const std::vector<FairQueue::WaiterPtr> heads = queue.Heads();
  REQUIRE(heads.size() == 2);
  CHECK(heads[0]->request.workspace == "no_tokens");
  queue.Serve(heads[1]);
  CHECK(queue.size() == 2);
  CHECK(queue.Heads()[0] == heads[0]);
}

TEST_CASE("urgent requests are served first, late ones last") {
  boost::asio::io_context io;
  FairQueue queue(10);
  const TimePoint start(std::chrono::hours(1));
  const auto push = [&](const std::string& workspace, int start_by_ms,
                        bool late) {
    const FairQueue::WaiterPtr waiter = MakeWaiter(io, workspace, 1);
    waiter->request.start_by = start + Milliseconds(start_by_ms);
    waiter->request.late = late;
    REQUIRE(queue.Push(waiter));
    return waiter;
  };
  const FairQueue::WaiterPtr late = push("a", 10, true);
  const FairQueue::WaiterPtr later = push("a", 300, false);
  const FairQueue::WaiterPtr urgent = push("a", 100, false);
  const FairQueue::WaiterPtr late_of_other = push("b", 20, true);
  const FairQueue::WaiterPtr later_of_other = push("c", 300, false);
  std::vector<FairQueue::WaiterPtr> served;
  while (!queue.empty()) {
    served.push_back(queue.Heads().front());
    queue.Serve(served.back());
  }
  REQUIRE(served.size() == 5);
  CHECK(served[0] == urgent);
  // The other requests in time share by workspace; late ones come last.
  CHECK((served[1] == later_of_other || served[1] == later));
  CHECK((served[3] == late || served[3] == late_of_other));
  CHECK((served[4] == late || served[4] == late_of_other));
}

}  // namespace
}  // namespace redwing
