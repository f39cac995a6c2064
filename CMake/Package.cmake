# Compiler options and lavendertack_package(), which builds the sources of one
# folder as one static library.
# Usage: lavendertack_package(Name SOURCES a.cc LINK Other zmq)
option(LAVENDERTACK_SANITIZE "Build with the address and undefined behaviour sanitizers" OFF)

add_library(lavendertack_options INTERFACE)
target_compile_options(lavendertack_options INTERFACE -Wall -Wextra -Wpedantic
  -Wshadow -Werror -Wno-missing-field-initializers)
target_include_directories(lavendertack_options INTERFACE ${CMAKE_SOURCE_DIR}/Source)
if(LAVENDERTACK_SANITIZE)
  target_compile_options(lavendertack_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(lavendertack_options INTERFACE -fsanitize=address,undefined)
endif()

function(lavendertack_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC lavendertack_options ${ARG_LINK})
endfunction()
