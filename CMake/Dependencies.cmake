# Finds the libraries that Tools/install installs from Tools/packages.txt. Those
# without a CMake package are found by their file names.
#
# With LAVENDERTACK_STATIC_LIBRARIES they are linked statically. Loading and
# relocating shared libraries takes most of the start time of a process, and a
# fleet that lost its power forwards no packet until its processes have started.
option(LAVENDERTACK_STATIC_LIBRARIES "Link third-party libraries statically" ON)
if(LAVENDERTACK_SANITIZE)
  set(LAVENDERTACK_STATIC_LIBRARIES OFF)
endif()

# Sets `variable` to the path of an archive or a shared library, as the option
# says. Each kind has its own cache entry, so the option can be changed later.
macro(lavendertack_find_library variable name)
  if(LAVENDERTACK_STATIC_LIBRARIES)
    find_library(${variable}_ARCHIVE lib${name}.a REQUIRED)
    set(${variable} ${${variable}_ARCHIVE})
  else()
    find_library(${variable}_SHARED ${name} REQUIRED)
    set(${variable} ${${variable}_SHARED})
  endif()
endmacro()

if(LAVENDERTACK_STATIC_LIBRARIES)
  set(GFLAGS_SHARED FALSE)
  set(Protobuf_USE_STATIC_LIBS ON)
endif()
find_package(Threads REQUIRED)
find_package(gflags REQUIRED)
find_package(glog REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(Protobuf REQUIRED)
lavendertack_find_library(ZMQ_LIBRARY zmq)
lavendertack_find_library(XXHASH_LIBRARY xxhash)
lavendertack_find_library(CXXTOOLS_LIBRARY cxxtools)
lavendertack_find_library(CXXTOOLS_HTTP_LIBRARY cxxtools-http)
if(LAVENDERTACK_TESTS)
  find_package(rapidcheck REQUIRED)
endif()

if(LAVENDERTACK_STATIC_LIBRARIES)
  target_link_options(lavendertack_options INTERFACE
    -static-libstdc++ -static-libgcc -no-pie)
  # glog's CMake package describes only the shared library.
  lavendertack_find_library(GLOG_LIBRARY glog)
  set_target_properties(glog::glog PROPERTIES
    IMPORTED_LOCATION_RELEASE ${GLOG_LIBRARY}
    INTERFACE_LINK_LIBRARIES "gflags;unwind")
  foreach(library sodium bsd md ssl crypto)
    find_library(${library}_ARCHIVE lib${library}.a REQUIRED)
  endforeach()
  list(APPEND ZMQ_LIBRARY ZmqUnusedTransports ${sodium_ARCHIVE} ${bsd_ARCHIVE}
    ${md_ARCHIVE})
  list(APPEND CXXTOOLS_LIBRARY ${ssl_ARCHIVE} ${crypto_ARCHIVE})
endif()
