#include "delivery/internal/retry_budget.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace redwing {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 166;
constexpr int kWindow = 10;  // seconds
constexpr size_t kInstances = 63;

RetryOptions Options() {
  RetryOptions options;
  options.retries_per_request = 0.75 * kRatio;
  options.retries_per_forward = 0.1 * kRatio;
  options.max_saved = kSlack / 16;
  options.max_saved_by_fleet = kSlack;
  return options;
}

// Model of a fleet in which each request and each retry is forwarded to another
// instance and all targets reject what they receive, so that every instance
// retries as often as its budget allows.
class RetryBudgetTest {
 protected:
  RetryBudgetTest() : budgets_(kInstances, RetryBudget(Options())) {}

  // Simulates one second; returns the number of retries at the service.
  int Simulate(const std::string& service, int requests_per_instance) {
    int retries = 0;
    for (size_t i = 0; i < kInstances; ++i) {
      RetryBudget& leader = budgets_[(i + 1) % kInstances];
      for (int request = 0; request < requests_per_instance; ++request) {
        budgets_[i].CountRequest(service, /*forwarded=*/false, kInstances);
        retries += Forward(service, leader);
        while (budgets_[i].TrySpend(service)) {
          retries += 1 + Forward(service, leader);
        }
      }
    }
    return retries;
  }

  std::vector<RetryBudget> budgets_;

 private:
  static int Forward(const std::string& service, RetryBudget& leader) {
    leader.CountRequest(service, /*forwarded=*/true, kInstances);
    return leader.TrySpend(service) ? 1 : 0;
  }
};

TEST_CASE_METHOD(
    RetryBudgetTest,
    "retries at a service stay within the fraction of its requests") {
  constexpr int kSmall = 6;   // requests a second and instance
  constexpr int kLarge = 32;  // the same
  int small = 0;
  int large = 0;
  for (int second = 0; second < kWindow; ++second) {
    small += Simulate("small", kSmall);
    large += Simulate("large", kLarge);
  }
  const double requests = kInstances * kWindow;
  CHECK(small <= kRatio * kSmall * requests + kSlack);
  CHECK(large <= kRatio * kLarge * requests + kSlack);
  // The retries that the budget allows are used.
  CHECK(large >= 0.8 * kRatio * kLarge * requests);
}

TEST_CASE_METHOD(RetryBudgetTest,
                 "requests for one service earn no retries at another") {
  for (int second = 0; second < kWindow; ++second) {
    for (RetryBudget& budget : budgets_) {
      budget.CountRequest("busy", /*forwarded=*/false, kInstances);
    }
  }
  int retries = 0;
  for (RetryBudget& budget : budgets_) {
    while (budget.TrySpend("idle")) {
      ++retries;
    }
  }
  CHECK(retries <= kSlack);
}

TEST_CASE("each instance of a large fleet may make at least one retry") {
  RetryOptions options = Options();
  constexpr size_t kMany = 4'800;
  RetryBudget budget(options);
  for (int i = 0; i < 10; ++i) {
    budget.CountRequest("svc", /*forwarded=*/false, kMany);
  }
  CHECK(budget.TrySpend("svc"));
}

}  // namespace
}  // namespace redwing
