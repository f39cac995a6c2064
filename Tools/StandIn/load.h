// Closed-loop load generator: bounds the number of unanswered packets.
#ifndef LAVENDERTACK_TOOLS_STANDIN_LOAD_H_
#define LAVENDERTACK_TOOLS_STANDIN_LOAD_H_

namespace standin {

// Measures new flows and packets per second through the instance of
// --instances, which must be a single address, and against a socket in the same
// process that represents a target without an instance in between. Prints a
// table. Returns the exit code: 1 if the instance answered no packets.
int RunLoad();

}  // namespace standin

#endif  // LAVENDERTACK_TOOLS_STANDIN_LOAD_H_
