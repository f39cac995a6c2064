// Requests to the administration API over HTTP.
#ifndef LAVENDERTACK_CTL_HTTP_TRANSPORT_H_
#define LAVENDERTACK_CTL_HTTP_TRANSPORT_H_

#include <chrono>

#include "Ctl/admin_client.h"

namespace lavendertack {

// Returns a transport that waits at most `timeout` for each reply.
admin_transport MakeHttpTransport(std::chrono::milliseconds timeout);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_HTTP_TRANSPORT_H_
