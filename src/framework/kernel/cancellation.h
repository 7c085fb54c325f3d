#ifndef REDWING_FRAMEWORK_KERNEL_CANCELLATION_H_
#define REDWING_FRAMEWORK_KERNEL_CANCELLATION_H_

#include <functional>
#include <utility>

namespace redwing {

// Tells the running step of some work that nobody waits for its result.
class Cancellation {
 public:
  bool cancelled() const { return cancelled_; }

  // Calls the function that is set, once.
  void Cancel() {
    cancelled_ = true;
    const std::function<void()> on_cancel = std::exchange(on_cancel_, {});
    if (on_cancel) {
      on_cancel();
    }
  }

  // Sets what ends the running step, in place of what was set before.
  void SetHandler(std::function<void()> on_cancel) {
    on_cancel_ = std::move(on_cancel);
  }
  void ClearHandler() { on_cancel_ = {}; }

 private:
  bool cancelled_ = false;
  std::function<void()> on_cancel_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_CANCELLATION_H_
