// A crowd of stand-in callers; every packet goes to a random instance.
#ifndef LAVENDERTACK_TOOLS_STANDIN_CALLERS_H_
#define LAVENDERTACK_TOOLS_STANDIN_CALLERS_H_

namespace standin {

// Runs for --seconds, prints the outcomes as JSON. Returns the exit code.
int RunCallers();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_CALLERS_H_
