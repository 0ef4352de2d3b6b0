// Service container of a process: owns the services, starts and stops them, and
// provides look-up by name.
#pragma once

#include <cassert>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bw {

class Kernel;

/// A component of a process. Start and Stop run on the main thread.
class Service {
 public:
  virtual ~Service() = default;

  /// Starts the service. Services added before this one are already running.
  virtual void Start(Kernel& kernel) = 0;

  /// @return True while a graceful shutdown must wait for unfinished work.
  /// Thread-safe.
  virtual bool IsBusy() const { return false; }

  /// Stops accepting new work. Thread-safe.
  virtual void Drain() {}

  /// Refuses all further work and gives up what is unfinished, so that its
  /// responses are sent before Stop. Thread-safe.
  virtual void Close() {}

  /// Stops the service and joins its threads.
  virtual void Stop() {}
};

/// Owns the services. Call Add and Find on the main thread only, which includes
/// Service::Start.
class Kernel {
 public:
  /// Registers a service as `name`. @pre The name is unused.
  void Add(std::string name, std::unique_ptr<Service> service) {
    services_.emplace_back(std::move(name), std::move(service));
  }

  /// @return The service called `name`. @pre It is registered and has type T.
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

  /// Starts the services in the order of registration.
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

  void CloseAll() {
    for (const auto& it : services_) {
      it.second->Close();
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

  /// Stops the services in reverse order of registration.
  void StopAll() {
    for (auto it = services_.rbegin(); it != services_.rend(); ++it) {
      it->second->Stop();
    }
  }

 private:
  std::vector<std::pair<std::string, std::unique_ptr<Service>>> services_;
};

}  // namespace bw
