// Stands in for the libraries behind the ZeroMQ transports and mechanisms that
// this project doesn't use, when ZeroMQ is linked statically: OpenPGM and NORM
// (multicast) and GSSAPI (Kerberos). With the libraries themselves, a process
// would load them and their dependencies at each start.
#include <cstdio>
#include <cstdlib>

namespace {

[[noreturn]] void AbortUnused(const char* function) {
  std::fprintf(stderr, "called %s: built without this transport\n", function);
  std::abort();
}

}  // namespace

// The names and, for the constants, the types are those of the libraries.
// NOLINTBEGIN(readability-identifier-naming)
#define LAVENDERTACK_UNUSED_FUNCTION(name) \
  void name() { AbortUnused(#name); }

extern "C" {

// ZeroMQ initializes OpenPGM with each context and shuts it down with it. Both
// return whether they succeeded.
int pgm_init(void** /*error*/) { return 1; }
int pgm_shutdown() { return 1; }

extern void* const NORM_INSTANCE_INVALID;
extern void* const NORM_SESSION_INVALID;
extern void* const NORM_OBJECT_INVALID;
extern const unsigned NORM_NODE_ANY;
void* const NORM_INSTANCE_INVALID = nullptr;
void* const NORM_SESSION_INVALID = nullptr;
void* const NORM_OBJECT_INVALID = nullptr;
const unsigned NORM_NODE_ANY = 0xffffffff;

void* GSS_C_NT_HOSTBASED_SERVICE = nullptr;
void* GSS_C_NT_USER_NAME = nullptr;

LAVENDERTACK_UNUSED_FUNCTION(NormCreateInstance)
LAVENDERTACK_UNUSED_FUNCTION(NormCreateSession)
LAVENDERTACK_UNUSED_FUNCTION(NormDestroyInstance)
LAVENDERTACK_UNUSED_FUNCTION(NormDestroySession)
LAVENDERTACK_UNUSED_FUNCTION(NormGetDescriptor)
LAVENDERTACK_UNUSED_FUNCTION(NormGetNextEvent)
LAVENDERTACK_UNUSED_FUNCTION(NormGetRandomSessionId)
LAVENDERTACK_UNUSED_FUNCTION(NormIsUnicastAddress)
LAVENDERTACK_UNUSED_FUNCTION(NormNodeDelete)
LAVENDERTACK_UNUSED_FUNCTION(NormObjectGetType)
LAVENDERTACK_UNUSED_FUNCTION(NormObjectGetUserData)
LAVENDERTACK_UNUSED_FUNCTION(NormObjectSetUserData)
LAVENDERTACK_UNUSED_FUNCTION(NormSetCongestionControl)
LAVENDERTACK_UNUSED_FUNCTION(NormSetDefaultSyncPolicy)
LAVENDERTACK_UNUSED_FUNCTION(NormSetDefaultUnicastNack)
LAVENDERTACK_UNUSED_FUNCTION(NormSetLoopback)
LAVENDERTACK_UNUSED_FUNCTION(NormSetMulticastInterface)
LAVENDERTACK_UNUSED_FUNCTION(NormSetRxPortReuse)
LAVENDERTACK_UNUSED_FUNCTION(NormSetTTL)
LAVENDERTACK_UNUSED_FUNCTION(NormStartReceiver)
LAVENDERTACK_UNUSED_FUNCTION(NormStartSender)
LAVENDERTACK_UNUSED_FUNCTION(NormStopInstance)
LAVENDERTACK_UNUSED_FUNCTION(NormStopReceiver)
LAVENDERTACK_UNUSED_FUNCTION(NormStopSender)
LAVENDERTACK_UNUSED_FUNCTION(NormStreamFlush)
LAVENDERTACK_UNUSED_FUNCTION(NormStreamOpen)
LAVENDERTACK_UNUSED_FUNCTION(NormStreamRead)
LAVENDERTACK_UNUSED_FUNCTION(NormStreamSeekMsgStart)
LAVENDERTACK_UNUSED_FUNCTION(NormStreamWrite)
LAVENDERTACK_UNUSED_FUNCTION(gss_accept_sec_context)
LAVENDERTACK_UNUSED_FUNCTION(gss_acquire_cred)
LAVENDERTACK_UNUSED_FUNCTION(gss_delete_sec_context)
LAVENDERTACK_UNUSED_FUNCTION(gss_display_name)
LAVENDERTACK_UNUSED_FUNCTION(gss_import_name)
LAVENDERTACK_UNUSED_FUNCTION(gss_init_sec_context)
LAVENDERTACK_UNUSED_FUNCTION(gss_release_buffer)
LAVENDERTACK_UNUSED_FUNCTION(gss_release_cred)
LAVENDERTACK_UNUSED_FUNCTION(gss_release_name)
LAVENDERTACK_UNUSED_FUNCTION(gss_unwrap)
LAVENDERTACK_UNUSED_FUNCTION(gss_wrap)
LAVENDERTACK_UNUSED_FUNCTION(pgm_bind3)
LAVENDERTACK_UNUSED_FUNCTION(pgm_close)
LAVENDERTACK_UNUSED_FUNCTION(pgm_connect)
LAVENDERTACK_UNUSED_FUNCTION(pgm_error_free)
LAVENDERTACK_UNUSED_FUNCTION(pgm_free)
LAVENDERTACK_UNUSED_FUNCTION(pgm_freeaddrinfo)
LAVENDERTACK_UNUSED_FUNCTION(pgm_getaddrinfo)
LAVENDERTACK_UNUSED_FUNCTION(pgm_getsockopt)
LAVENDERTACK_UNUSED_FUNCTION(pgm_gsi_create_from_data)
LAVENDERTACK_UNUSED_FUNCTION(pgm_recvmsgv)
LAVENDERTACK_UNUSED_FUNCTION(pgm_send)
LAVENDERTACK_UNUSED_FUNCTION(pgm_setsockopt)
LAVENDERTACK_UNUSED_FUNCTION(pgm_socket)

}  // extern "C"
// NOLINTEND(readability-identifier-naming)
