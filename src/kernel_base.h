// The micro-kernel: holds a process's services, starts and stops them, and
// lets them find each other by name.
#pragma once

#include <cassert>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bw {

class Kernel;

/// A part of a process with its own duty. Start and Stop run on the main
/// thread.
class Service {
 public:
  virtual ~Service() = default;

  /// Starts the service. Services that were added earlier are running.
  virtual void Start(Kernel& kernel) = 0;

  /// True while work is left that a graceful shutdown must wait for.
  /// Thread-safe.
  virtual bool IsBusy() const { return false; }

  /// Takes no new work from now on. Thread-safe.
  virtual void Drain() {}

  /// Ends the service's threads.
  virtual void Stop() {}
};

/// Owns the services. Add and Find belong to the main thread, or to a
/// service's Start.
class Kernel {
 public:
  /// Adds a service under `name`. @pre The name is not taken.
  void Add(std::string name, std::unique_ptr<Service> service) {
    services_.emplace_back(std::move(name), std::move(service));
  }

  /// @return The service called `name`. @pre It was added, with type T.
  template <typename T>
  T& Find(std::string_view name) const {
    for (const auto& it : services_) {
      if (it.first == name) {
        auto* found = dynamic_cast<T*>(it.second.get());
        assert(found != nullptr);
        return *found;
      }
    }
    assert(false && "no such service");
    std::abort();
  }

  void StartAll() {
    for (const auto& it : services_) {
      it.second->Start(*this);
    }
  }

  void DrainAll() {
    for (const auto& it : services_) {
      it.second->Drain();
    }
  }

  bool IsBusy() const {
    for (const auto& it : services_) {
      if (it.second->IsBusy()) {
        return true;
      }
    }
    return false;
  }

  /// Stops in the reverse order.
  void StopAll() {
    for (auto it = services_.rbegin(); it != services_.rend(); ++it) {
      it->second->Stop();
    }
  }

 private:
  std::vector<std::pair<std::string, std::unique_ptr<Service>>> services_;
};

}  // namespace bw
