// Program bwentry: blocks signals, then loads and runs the library that holds
// everything else. Loading its some 50 shared libraries takes tens of
// milliseconds, in which a SIGHUP or SIGTERM would end the process if they were
// the program's own. Must not use the C++ library, which is one of them.

#include <dlfcn.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

namespace {

constexpr const char* kLibrary = "libbwentry_main.so";
constexpr size_t kMaxPath = 4096;

void BlockSignals() {
  sigset_t all;
  sigemptyset(&all);
  sigaddset(&all, SIGTERM);
  sigaddset(&all, SIGINT);
  sigaddset(&all, SIGHUP);
  sigaddset(&all, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

/// Loads the library from the folder `from` and the slash after it.
void* Load(const char* from, int length) {
  char path[kMaxPath];
  snprintf(path, sizeof(path), "%.*s%s", length, from, kLibrary);
  return dlopen(path, RTLD_NOW);
}

}  // namespace

int main(int argc, const char** argv) {
  BlockSignals();
  constexpr const char* kOwnFolder = "$ORIGIN/";
  void* library = Load(kOwnFolder, static_cast<int>(strlen(kOwnFolder)));
  if (library == nullptr && argc > 0) {
    fprintf(stderr, "%s\n", dlerror());
    // The own folder is not known if /proc is not there.
    const char* end = strrchr(argv[0], '/');
    library =
        Load(argv[0], end == nullptr ? 0 : static_cast<int>(end + 1 - argv[0]));
  }
  using Main = int (*)(int, const char**);
  const auto run = library == nullptr
                       ? nullptr
                       : reinterpret_cast<Main>(dlsym(library, "BwEntryMain"));
  if (run == nullptr) {
    fprintf(stderr, "Cannot load the program: %s\n", dlerror());
    return 1;
  }
  return run(argc, argv);
}
