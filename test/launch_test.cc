// The program bwentry must start wherever its one file lies. It needed a second
// one beside it, which a process did not find whose folders are its own: 100
// exits of 100 in a clone under /tmp.
#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>

namespace bw::test {
namespace {

/// The program alone in a new folder.
struct Alone {
  Alone() {
    char name[] = "/tmp/bw-launch.XXXXXX";
    folder = mkdtemp(name);
    std::filesystem::copy_file(BW_BIN_DIR "/bwentry", folder + "/bwentry");
  }
  ~Alone() { std::filesystem::remove_all(folder); }
  Alone(const Alone&) = delete;
  Alone& operator=(const Alone&) = delete;

  std::string folder;
};

/// @return The exit code of a process that calls `exec`, which must replace the
/// process by bwentry with the option --help; its output is dropped.
int ExitCode(const std::function<void(char** argv)>& exec, const char* name) {
  const pid_t child = fork();
  if (child == 0) {
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDOUT_FILENO);
    std::string text = name;
    std::string option = "--help";
    char* argv[] = {text.data(), option.data(), nullptr};
    exec(argv);
    _exit(127);
  }
  int status = 0;
  waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

/// Makes the system refuse files in memory to this process.
void RefuseFilesInMemory() {
  sock_filter code[] = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_memfd_create, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | EPERM),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW)};
  const sock_fprog program{4, code};
  prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0);
  if (prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) != 0) {
    _exit(126);
  }
}

/// @return True if a file of the launcher is in /tmp.
bool IsFileLeft() {
  const std::filesystem::directory_iterator files("/tmp");
  return std::any_of(begin(files), end(files), [](const auto& it) {
    return it.path().filename().string().starts_with("bwentry-");
  });
}

}  // namespace

TEST_GROUP(Launch){};

TEST(Launch, ProgramAloneInAnotherFolder) {
  const Alone it;
  const std::string path = it.folder + "/bwentry";
  LONGS_EQUAL(0, ExitCode([&](char** argv) { execv(path.c_str(), argv); },
                          path.c_str()));
}

TEST(Launch, RelativePath) {
  const Alone it;
  LONGS_EQUAL(0, ExitCode(
                     [&](char** argv) {
                       if (chdir(it.folder.c_str()) == 0) {
                         execv("./bwentry", argv);
                       }
                     },
                     "./bwentry"));
}

TEST(Launch, ThroughALinkInAnotherFolder) {
  const Alone it;
  std::filesystem::create_directory(it.folder + "/links");
  const std::string link = it.folder + "/links/entry";
  std::filesystem::create_symlink("../bwentry", link);
  LONGS_EQUAL(0, ExitCode([&](char** argv) { execv(link.c_str(), argv); },
                          link.c_str()));
}

// Neither its path nor /proc leads to the program's folder.
TEST(Launch, PathThatCannotBeFound) {
  const Alone it;
  const std::string path = it.folder + "/bwentry";
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  std::filesystem::remove(path);
  LONGS_EQUAL(
      0, ExitCode([&](char** argv) { fexecve(fd, argv, environ); }, "bwentry"));
  close(fd);
}

// As where /proc is not there: the library is loaded from /tmp.
TEST(Launch, FilesInMemoryAreRefused) {
  const Alone it;
  const std::string path = it.folder + "/bwentry";
  LONGS_EQUAL(0, ExitCode(
                     [&](char** argv) {
                       RefuseFilesInMemory();
                       execv(path.c_str(), argv);
                     },
                     path.c_str()));
  CHECK(!IsFileLeft());
}

// It must say so, and not end by a signal.
TEST(Launch, NoFileMayBeWritten) {
  const Alone it;
  const std::string path = it.folder + "/bwentry";
  LONGS_EQUAL(1, ExitCode(
                     [&](char** argv) {
                       const rlimit none{0, 0};
                       setrlimit(RLIMIT_FSIZE, &none);
                       dup2(STDOUT_FILENO, STDERR_FILENO);
                       execv(path.c_str(), argv);
                     },
                     path.c_str()));
}

}  // namespace bw::test
