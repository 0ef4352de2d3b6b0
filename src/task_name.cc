#include "task_name_func.h"

namespace bw {

std::string TaskName(const JobId& job, uint32_t task) {
  return job.value + "/" + std::to_string(task);
}

std::optional<std::pair<JobId, uint32_t>> ParseTaskName(
    const std::string& name) {
  const auto n = name.rfind('/');
  if (n == std::string::npos || n + 1 == name.size() ||
      name.find_first_not_of("0123456789", n + 1) != std::string::npos ||
      name.size() - n > 9) {
    return std::nullopt;
  }
  return std::pair(JobId(name.substr(0, n)),
                   static_cast<uint32_t>(std::stoul(name.substr(n + 1))));
}

}  // namespace bw
