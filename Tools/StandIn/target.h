// A stand-in target: announces itself, runs requests, keeps a journal.
#ifndef LAVENDERTACK_TOOLS_STANDIN_TARGET_H_
#define LAVENDERTACK_TOOLS_STANDIN_TARGET_H_

namespace standin {

// Runs until SIGTERM; SIGUSR1 makes it drain. Returns the exit code.
int RunTarget();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_TARGET_H_
