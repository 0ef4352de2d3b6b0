// Processor time of a process's threads, by name. Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bw {

/// Includes the calling thread in ReadThreadCpu while it exists.
class ScopedThreadCpu {
 public:
  /// @param name Also shown by tools of the system; at most 15 characters.
  explicit ScopedThreadCpu(const char* name);
  ~ScopedThreadCpu();
  ScopedThreadCpu(const ScopedThreadCpu&) = delete;
  ScopedThreadCpu& operator=(const ScopedThreadCpu&) = delete;

 private:
  uint64_t number_ = 0;
};

/// @return Microseconds of processor time used by the running threads of each
/// name, and by the whole process under "process".
std::map<std::string, uint64_t> ReadThreadCpu();

}  // namespace bw
