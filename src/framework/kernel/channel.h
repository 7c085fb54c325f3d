#ifndef REDWING_FRAMEWORK_KERNEL_CHANNEL_H_
#define REDWING_FRAMEWORK_KERNEL_CHANNEL_H_

#include <functional>
#include <vector>

namespace redwing {

// Typed notification: every subscriber is called, in order of subscription,
// on the event loop's thread. Subscribers live as long as the channel.
template <typename... Args>
class Channel {
 public:
  using Callback = std::function<void(const Args&...)>;

  void Subscribe(Callback callback) {
    callbacks_.push_back(std::move(callback));
  }

  void Notify(const Args&... args) const {
    for (const Callback& callback : callbacks_) {
      callback(args...);
    }
  }

 private:
  std::vector<Callback> callbacks_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_CHANNEL_H_
