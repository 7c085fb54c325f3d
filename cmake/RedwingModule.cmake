# Settings shared by every target, and one helper per kind of target.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

option(REDWING_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)
if(REDWING_SANITIZE)
  # GCC 12 sees uninitialised values in Boost when it also sanitizes.
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -Wno-maybe-uninitialized)
  add_link_options(-fsanitize=address,undefined)
endif()

find_package(Boost 1.74 REQUIRED COMPONENTS coroutine context)
find_package(spdlog REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
if(REDWING_TESTS)
  find_package(Catch2 2 REQUIRED)
endif()
find_package(Threads REQUIRED)
find_package(ZLIB REQUIRED)
find_library(SODIUM_LIBRARY sodium REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

add_library(redwing_options INTERFACE)
target_include_directories(redwing_options INTERFACE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
# Boost 1.74 Asio needs <utility> before its own headers under C++20.
target_compile_options(redwing_options INTERFACE -Wall -Wextra -Werror -include utility)
target_compile_definitions(redwing_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_COROUTINES_NO_DEPRECATION_WARNING
  REDWING_VERSION="${PROJECT_VERSION}")
target_link_libraries(redwing_options INTERFACE
  Boost::coroutine Boost::context spdlog::spdlog fmt::fmt nlohmann_json::nlohmann_json
  ${SODIUM_LIBRARY} ${XXHASH_LIBRARY} Threads::Threads ZLIB::ZLIB)

# redwing_module(NAME [DEPS modules...]): a static library of the folder's sources and, where
# there is a tests/ folder, a Catch2 executable registered with ctest.
function(redwing_module name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc internal/*.cc)
  add_library(rw_${name} STATIC ${sources})
  target_link_libraries(rw_${name} PUBLIC redwing_options ${ARG_DEPS})
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  if(tests AND REDWING_TESTS)
    add_executable(${name}_test ${tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
    target_link_libraries(${name}_test PRIVATE rw_${name} Catch2::Catch2)
    target_compile_definitions(${name}_test PRIVATE REDWING_EXAMPLES_DIR="${PROJECT_SOURCE_DIR}/examples")
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 120)
  endif()
endfunction()

# redwing_program(NAME SOURCES... DEPS modules...): one of the shipped binaries.
function(redwing_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE redwing_options ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
