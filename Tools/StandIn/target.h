// Simulated target: announces itself, runs requests and logs them in a journal
// file.
#ifndef LAVENDERTACK_TOOLS_STANDIN_TARGET_H_
#define LAVENDERTACK_TOOLS_STANDIN_TARGET_H_

namespace standin {

// Runs until it has received SIGTERM and finished all running requests. SIGUSR1
// starts draining. Returns the exit code.
int RunTarget();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_TARGET_H_
