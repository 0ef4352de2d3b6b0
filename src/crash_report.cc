#include <execinfo.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string_view>

#include "crash_report_func.h"

namespace bw {
namespace {

constexpr std::array<int, 5> kFaults = {SIGSEGV, SIGBUS, SIGILL, SIGFPE,
                                        SIGABRT};
constexpr int kMaxFrames = 24;
constexpr size_t kThreadNameBytes = 16;
constexpr size_t kLineBytes = 1024;
/// The main thread's; others report on their own stack.
constexpr size_t kStackBytes = 64 << 10;

/// A line that is built without allocating memory.
class Line {
 public:
  Line& Add(std::string_view text) {
    const size_t n = std::min(text.size(), buf_.size() - size_);
    std::memcpy(buf_.data() + size_, text.data(), n);
    size_ += n;
    return *this;
  }

  Line& AddNumber(uint64_t n, int base = 10) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), n, base).ptr;
    return Add({digits.data(), static_cast<size_t>(end - digits.data())});
  }

  /// Adds `text` without the characters that end a JSON string.
  Line& AddEscaped(std::string_view text) {
    for (const char c : text) {
      const bool plain = c >= ' ' && c != '"' && c != '\\';
      Add(plain ? std::string_view(&c, 1) : " ");
    }
    return *this;
  }

  /// Writes the line to standard output unless that would block.
  void Write() {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
      [[maybe_unused]] const auto n = write(STDOUT_FILENO, buf_.data(), size_);
    }
  }

 private:
  std::array<char, kLineBytes> buf_{};
  size_t size_ = 0;
};

void AddThread(Line* line) {
  std::array<char, kThreadNameBytes> name{};
  prctl(PR_GET_NAME, name.data());
  line->Add(R"(,"thread":")").AddEscaped(name.data()).Add("\"");
}

/// Runs as a signal handler: uses only what is safe there.
void OnFault(int signal) {
  Line line;
  line.Add(R"({"event":"process_fault","part":"kernel","signal":)")
      .AddNumber(static_cast<uint64_t>(signal));
  AddThread(&line);
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  // Addresses depend on where the program was loaded; `base` is this
  // function's.
  line.Add(R"(,"base":"0x)")
      .AddNumber(reinterpret_cast<uintptr_t>(&OnFault), 16)
      .Add(R"(","stack":[)");
  for (int n = 0; n < count; ++n) {
    line.Add(n == 0 ? "\"0x" : ",\"0x")
        .AddNumber(reinterpret_cast<uintptr_t>(frames[static_cast<size_t>(n)]),
                   16)
        .Add("\"");
  }
  line.Add("]}\n").Write();
  raise(signal);  // The default action again, as the handler was reset.
}

[[noreturn]] void OnUncaughtException() {
  Line line;
  line.Add(R"({"event":"uncaught_exception","part":"kernel","error":")");
  try {
    if (const auto current = std::current_exception()) {
      std::rethrow_exception(current);
    }
  } catch (const std::exception& e) {
    line.AddEscaped(e.what());
  } catch (...) {
    line.Add("not a standard exception");
  }
  line.Add("\"");
  AddThread(&line);
  line.Add("}\n").Write();
  std::abort();
}

}  // namespace

void InstallCrashReport() {
  static std::array<char, kStackBytes> stack;
  const stack_t alternative{stack.data(), 0, stack.size()};
  sigaltstack(&alternative, nullptr);
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1);  // Loads its library now, not during a fault.
  struct sigaction action {};
  action.sa_handler = OnFault;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
  for (const int it : kFaults) {
    sigaction(it, &action, nullptr);
  }
  std::set_terminate(OnUncaughtException);
}

}  // namespace bw
