# Finds the libraries that Tools/install installs from Tools/packages.txt. Those
# without a CMake package are found by their file names.
find_package(Threads REQUIRED)
find_package(gflags REQUIRED)
find_package(glog REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(Protobuf REQUIRED)
find_library(ZMQ_LIBRARY zmq REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(CXXTOOLS_LIBRARY cxxtools REQUIRED)
find_library(CXXTOOLS_HTTP_LIBRARY cxxtools-http REQUIRED)
if(LAVENDERTACK_TESTS)
  find_package(rapidcheck REQUIRED)
endif()
