// A closed-loop load: a bounded number of packets is under way at a time.
#ifndef LAVENDERTACK_TOOLS_STANDIN_LOAD_H_
#define LAVENDERTACK_TOOLS_STANDIN_LOAD_H_

namespace standin {

// Measures new flows and packets a second through --instances (the first one)
// and against an answering socket in the same process, which stands for a
// target that callers reach directly. Prints a table; returns the exit code.
int RunLoad();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_LOAD_H_
