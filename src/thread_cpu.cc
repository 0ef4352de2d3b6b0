#include <pthread.h>
#include <time.h>

#include <mutex>

#include "thread_cpu_func.h"

namespace bw {
namespace {

struct NamedClock {
  std::string name;
  clockid_t clock = CLOCK_THREAD_CPUTIME_ID;
};

struct Registry {
  std::mutex mutex;
  uint64_t last_number = 0;
  std::map<uint64_t, NamedClock> threads;
};

Registry& Threads() {
  static Registry registry;
  return registry;
}

uint64_t ReadMicros(clockid_t clock) {
  constexpr uint64_t kMicrosPerSecond = 1'000'000;
  constexpr uint64_t kNanosPerMicro = 1000;
  timespec time{};
  if (clock_gettime(clock, &time) != 0) {
    return 0;  // Not available on this platform.
  }
  return static_cast<uint64_t>(time.tv_sec) * kMicrosPerSecond +
         static_cast<uint64_t>(time.tv_nsec) / kNanosPerMicro;
}

}  // namespace

ScopedThreadCpu::ScopedThreadCpu(const char* name) {
  NamedClock added{name};
  pthread_getcpuclockid(pthread_self(), &added.clock);
  pthread_setname_np(pthread_self(), name);
  Registry& registry = Threads();
  std::lock_guard lock(registry.mutex);
  number_ = ++registry.last_number;
  registry.threads[number_] = added;
}

ScopedThreadCpu::~ScopedThreadCpu() {
  Registry& registry = Threads();
  std::lock_guard lock(registry.mutex);
  registry.threads.erase(number_);
}

std::map<std::string, uint64_t> ReadThreadCpu() {
  std::map<std::string, uint64_t> out;
  out["process"] = ReadMicros(CLOCK_PROCESS_CPUTIME_ID);
  Registry& registry = Threads();
  std::lock_guard lock(registry.mutex);
  for (const auto& it : registry.threads) {
    out[it.second.name] += ReadMicros(it.second.clock);
  }
  return out;
}

}  // namespace bw
