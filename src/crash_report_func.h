// Says why a process ends by itself: the signal or the exception that ends it.
#pragma once

namespace bw {

/// From now on a fault of the process (SIGSEGV, SIGABRT and the like) or an
/// exception that nobody catches writes one structured line to standard output
/// before it ends the process as it would anyway. Call once, early.
void InstallCrashReport();

}  // namespace bw
