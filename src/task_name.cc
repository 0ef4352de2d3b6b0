#include "task_name_func.h"

namespace bw {
namespace {

/// Longest "/index" suffix: the slash and 8 digits, which fit into uint32_t.
constexpr size_t kMaxSuffixLength = 9;

}  // namespace

std::string TaskName(const JobId& job, uint32_t task) {
  return job.value + "/" + std::to_string(task);
}

std::optional<std::pair<JobId, uint32_t>> ParseTaskName(
    const std::string& name) {
  const auto n = name.rfind('/');
  if (n == std::string::npos || n + 1 == name.size() ||
      name.find_first_not_of("0123456789", n + 1) != std::string::npos ||
      name.size() - n > kMaxSuffixLength) {
    return std::nullopt;
  }
  return std::pair(JobId(name.substr(0, n)),
                   static_cast<uint32_t>(std::stoul(name.substr(n + 1))));
}

}  // namespace bw
