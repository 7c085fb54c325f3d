#include "framework/kernel/kernel.h"

#include <fmt/format.h>

#include "framework/kernel/guard.h"

namespace redwing {

// One thread runs the loop, so nothing in it is locked.
Kernel::Kernel() : io_(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE) {}

Kernel::~Kernel() = default;

void Kernel::AddModule(std::unique_ptr<Module> module) {
  modules_.push_back(std::move(module));
}

void Kernel::Start() {
  for (const std::unique_ptr<Module>& module : modules_) {
    module->RegisterServices(*this);
  }
  for (const std::unique_ptr<Module>& module : modules_) {
    module->ResolveDependencies(*this);
  }
  for (const std::unique_ptr<Module>& module : modules_) {
    module->Start();
  }
}

void Kernel::BeginDrain() {
  for (const std::unique_ptr<Module>& module : modules_) {
    module->BeginDrain();
  }
}

void Kernel::Stop() {
  for (auto module = modules_.rbegin(); module != modules_.rend(); ++module) {
    (*module)->Stop();
  }
  io_.stop();
}

void Kernel::Run() {
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard = boost::asio::make_work_guard(io_);
  // Handlers that are still queued go on after an exception of one of them.
  while (!RunGuarded("event_handler", [this]() { io_.run(); })) {
  }
}

void Kernel::AddService(std::string_view name,
                        std::type_index type,
                        std::shared_ptr<void> service) {
  const bool inserted =
      services_.emplace(std::string(name), Entry{type, std::move(service)})
          .second;
  if (!inserted) {
    throw std::logic_error(fmt::format("service '{}' exists already", name));
  }
}

std::shared_ptr<void> Kernel::FindService(std::string_view name,
                                          std::type_index type) const {
  const auto entry = services_.find(name);
  if (entry == services_.end() || entry->second.type != type) {
    throw std::logic_error(fmt::format("service '{}' does not exist", name));
  }
  return entry->second.service;
}

}  // namespace redwing
