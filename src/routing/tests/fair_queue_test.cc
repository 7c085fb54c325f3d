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
  const FairQueue::WaiterPtr patient = push("a", 300, false);
  const FairQueue::WaiterPtr urgent = push("a", 100, false);
  const FairQueue::WaiterPtr late_of_other = push("b", 20, true);
  const FairQueue::WaiterPtr patient_of_other = push("c", 300, false);
  std::vector<FairQueue::WaiterPtr> served;
  while (!queue.empty()) {
    served.push_back(queue.Heads().front());
    queue.Serve(served.back());
  }
  REQUIRE(served.size() == 5);
  CHECK(served[0] == urgent);
  // The others in time share by workspace; the late ones come last.
  CHECK((served[1] == patient_of_other || served[1] == patient));
  CHECK((served[3] == late || served[3] == late_of_other));
  CHECK((served[4] == late || served[4] == late_of_other));
}

}  // namespace
}  // namespace redwing
