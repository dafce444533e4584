# Helper functions that define a target from SOURCES and DEPENDS, with the common
# flags.

find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(cxxopts REQUIRED)
find_package(pugixml REQUIRED)
find_package(prometheus-cpp REQUIRED)
if(NOT POPLARSAIL_DEPLOY)
  find_package(Catch2 2 REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(OpenSSL REQUIRED)

option(POPLARSAIL_ASAN "Build with the address and undefined sanitizers" OFF)
option(POPLARSAIL_TSAN "Build with the thread sanitizer" OFF)

add_library(poplarsail_flags INTERFACE)
target_compile_options(poplarsail_flags INTERFACE
  -Wall -Wextra -Werror -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual
  -Wno-missing-field-initializers
  # False positives of GCC 12 for copies of initialized std::variant objects.
  $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
target_compile_definitions(poplarsail_flags INTERFACE
  # Otherwise cxxopts compiles its regular expressions at each start.
  CXXOPTS_NO_REGEX=1
  BOOST_ASIO_NO_DEPRECATED BOOST_BIND_GLOBAL_PLACEHOLDERS
  BOOST_ALLOW_DEPRECATED_HEADERS)
target_link_libraries(poplarsail_flags INTERFACE Threads::Threads)
if(POPLARSAIL_ASAN)
  target_compile_options(poplarsail_flags INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all)
  target_link_options(poplarsail_flags INTERFACE -fsanitize=address,undefined)
endif()
if(POPLARSAIL_TSAN)
  target_compile_options(poplarsail_flags INTERFACE -fsanitize=thread)
  target_link_options(poplarsail_flags INTERFACE -fsanitize=thread)
endif()

function(poplarsail_add_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${arg_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC poplarsail_flags ${arg_DEPENDS})
endfunction()

function(poplarsail_add_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE poplarsail_flags ${arg_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

function(poplarsail_add_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE
    poplarsail_flags catch2_main ${arg_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
