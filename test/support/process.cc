#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

extern char** environ;

namespace bw::test {
namespace {

constexpr int kFirstPort = 10'000;
constexpr int kLastPort = 32'000;  // Below the ephemeral port range.

bool IsPortFree(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

/// @return A null-terminated argv that points into `texts`.
std::vector<char*> MakeArgv(std::vector<std::string>* texts) {
  std::vector<char*> out;
  for (auto& it : *texts) {
    out.push_back(it.data());
  }
  out.push_back(nullptr);
  return out;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& binary,
                           const std::vector<std::string>& arguments,
                           const std::string& output,
                           const std::vector<std::string>& environment) {
  std::vector<std::string> line = {std::string(BW_BIN_DIR) + "/" + binary};
  line.insert(line.end(), arguments.begin(), arguments.end());
  std::vector<std::string> variables = environment;
  for (char** it = environ; *it != nullptr; ++it) {
    variables.emplace_back(*it);
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  if (posix_spawn(&pid_, line[0].c_str(), &actions, &attributes,
                  MakeArgv(&line).data(), MakeArgv(&variables).data()) != 0) {
    pid_ = -1;
  }
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() {
  Kill();
}

ChildProcess::ChildProcess(ChildProcess&& it) noexcept
    : pid_(std::exchange(it.pid_, -1)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& it) noexcept {
  if (this != &it) {
    Kill();
    pid_ = std::exchange(it.pid_, -1);
  }
  return *this;
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

int ChildProcess::Wait(milliseconds timeout) {
  int code = -1;
  Eventually(
      [&] {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
          return pid_ <= 0;
        }
        pid_ = -1;
        code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        return true;
      },
      timeout);
  return code;
}

int RunBinary(const std::string& binary,
              const std::vector<std::string>& arguments,
              std::string* out) {
  std::string command = std::string(BW_BIN_DIR) + "/" + binary;
  for (const auto& it : arguments) {
    command += " '" + it + "'";
  }
  FILE* pipe = popen((command + " 2>&1").c_str(), "r");
  std::array<char, 4096> buf{};
  size_t n = 0;
  while ((n = fread(buf.data(), 1, buf.size(), pipe)) > 0) {
    if (out != nullptr) {
      out->append(buf.data(), n);
    }
  }
  return WEXITSTATUS(pclose(pipe));
}

int FreePorts(int count) {
  static int next = kFirstPort + static_cast<int>(getpid() * 7 % 100) * 200;
  for (int tries = 0; tries < kLastPort; ++tries) {
    if (next + count >= kLastPort) {
      next = kFirstPort;
    }
    const int first = next;
    int n = 0;
    while (n < count && IsPortFree(first + n)) {
      ++n;
    }
    next = first + n + 1;
    if (n == count) {
      next = first + count;
      return first;
    }
  }
  std::abort();
}

bool Eventually(const std::function<bool()>& condition, milliseconds timeout) {
  const Time limit = BootClock::now() + timeout;
  while (!condition()) {
    if (BootClock::now() > limit) {
      return condition();
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

}  // namespace bw::test
