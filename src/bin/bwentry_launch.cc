// Program bwentry: blocks signals, then loads and runs the library that holds
// everything else. Loading its some 50 shared libraries takes tens of
// milliseconds, in which a SIGHUP or SIGTERM would end the process if they were
// the program's own. Must not use the C++ library, which is one of them.
//
// The program contains the library, so that it needs no second file: a process
// may see the files of its own folder under another path, or not at all.

#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

// The library's bytes. BW_LIBRARY_FILE is defined by the build.
asm(R"(
  .section .rodata
  .balign 16
  .global bw_library_begin
  .hidden bw_library_begin
bw_library_begin:
  .incbin ")" BW_LIBRARY_FILE R"("
  .global bw_library_end
  .hidden bw_library_end
bw_library_end:
  .previous
)");
extern "C" const char bw_library_begin[];
extern "C" const char bw_library_end[];

namespace {

constexpr size_t kMaxPath = 64;

void BlockSignals() {
  sigset_t all;
  sigemptyset(&all);
  sigaddset(&all, SIGTERM);
  sigaddset(&all, SIGINT);
  sigaddset(&all, SIGHUP);
  sigaddset(&all, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

/// Writes the library to a file. @return False if it could not be written.
bool WriteLibrary(int fd) {
  const char* at = bw_library_begin;
  while (at < bw_library_end) {
    const ssize_t n = write(fd, at, static_cast<size_t>(bw_library_end - at));
    if (n <= 0) {
      return false;
    }
    at += n;
  }
  return true;
}

/// Loads the library from a file in memory, which needs /proc.
void* LoadFromMemory() {
  const int fd = memfd_create("bwentry", MFD_CLOEXEC);
  if (fd < 0) {
    return nullptr;
  }
  char path[kMaxPath];
  snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
  void* library = WriteLibrary(fd) ? dlopen(path, RTLD_NOW) : nullptr;
  close(fd);
  return library;
}

/// As above without /proc, or where files in memory are not allowed.
void* LoadFromTemporaryFile() {
  char path[kMaxPath] = "/tmp/bwentry-XXXXXX";
  const int fd = mkostemp(path, O_CLOEXEC);
  if (fd < 0) {
    return nullptr;
  }
  void* library = WriteLibrary(fd) ? dlopen(path, RTLD_NOW) : nullptr;
  unlink(path);
  close(fd);
  return library;
}

void* Load() {
  // A limit on the size of files must not end the process.
  const auto before = signal(SIGXFSZ, SIG_IGN);
  void* library = LoadFromMemory();
  if (library == nullptr) {
    library = LoadFromTemporaryFile();
  }
  signal(SIGXFSZ, before);
  return library;
}

}  // namespace

int main(int argc, const char** argv) {
  BlockSignals();
  void* library = Load();
  if (library == nullptr) {
    const char* error = dlerror();
    fprintf(stderr, "Cannot load the program: %s\n",
            error == nullptr ? "no file can be written" : error);
    return 1;
  }
  using Main = int (*)(int, const char**);
  const auto run = reinterpret_cast<Main>(dlsym(library, "BwEntryMain"));
  if (run == nullptr) {
    fprintf(stderr, "Cannot load the program: %s\n", dlerror());
    return 1;
  }
  return run(argc, argv);
}
