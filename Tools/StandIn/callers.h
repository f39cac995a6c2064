// Simulated callers that send each packet to a random instance.
#ifndef LAVENDERTACK_TOOLS_STANDIN_CALLERS_H_
#define LAVENDERTACK_TOOLS_STANDIN_CALLERS_H_

namespace standin {

// Runs the workloads of --mix for --seconds and prints the outcomes as JSON.
// Returns the exit code: 1 if a caller received a wrong answer.
int RunCallers();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_CALLERS_H_
