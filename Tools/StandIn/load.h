// Closed-loop load generator: limits the number of unanswered packets.
#ifndef LAVENDERTACK_TOOLS_STANDIN_LOAD_H_
#define LAVENDERTACK_TOOLS_STANDIN_LOAD_H_

namespace standin {

// Measures new flows and packets per second, first sent directly to a simulated
// target in this process, then to the instance at --instances, which must be a
// single address. Prints both rates and their ratio. Returns the exit code: 1
// if the instance accepted no packet of an open flow.
int RunLoad();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_LOAD_H_
