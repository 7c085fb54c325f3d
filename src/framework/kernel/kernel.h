#ifndef REDWING_FRAMEWORK_KERNEL_KERNEL_H_
#define REDWING_FRAMEWORK_KERNEL_KERNEL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <typeindex>
#include <vector>

#include "framework/kernel/module.h"

namespace redwing {

// Micro-kernel: owns the event loop and the modules, and finds services by
// name. A service interface names itself with a static kServiceName.
class Kernel {
 public:
  Kernel();
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  boost::asio::io_context& io() { return io_; }

  void AddModule(std::unique_ptr<Module> module);

  // Registers a service under T::kServiceName. Throws std::logic_error when
  // the name is taken.
  template <typename T>
  void Register(std::shared_ptr<T> service) {
    AddService(T::kServiceName, typeid(T), std::move(service));
  }

  // Returns the service named T::kServiceName. Throws std::logic_error when
  // no module registered it.
  template <typename T>
  std::shared_ptr<T> Find() const {
    return std::static_pointer_cast<T>(FindService(T::kServiceName, typeid(T)));
  }

  // Registers, resolves and starts all modules.
  void Start();

  // Tells all modules to stop admitting work.
  void BeginDrain();

  // Stops all modules in reverse order and the event loop.
  void Stop();

  // Runs the event loop until Stop().
  void Run();

 private:
  struct Entry {
    std::type_index type;
    std::shared_ptr<void> service;
  };

  void AddService(std::string_view name,
                  std::type_index type,
                  std::shared_ptr<void> service);
  std::shared_ptr<void> FindService(std::string_view name,
                                    std::type_index type) const;

  boost::asio::io_context io_;
  std::map<std::string, Entry, std::less<>> services_;
  std::vector<std::unique_ptr<Module>> modules_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_KERNEL_H_
