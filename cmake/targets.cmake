# acaciadeal_library(name SOURCES ... DEPS ...) adds a package library.
# acaciadeal_plugins(name SOURCES ... DEPS ...) adds an object library of self-registering plugins;
#   from a static library, the linker would drop their objects because nothing refers to them.
# acaciadeal_test(name SOURCES ... DEPS ...) adds a doctest executable and registers it with ctest.
function(acaciadeal_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(${name} PUBLIC ${ARG_DEPS})
endfunction()

function(acaciadeal_plugins name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(${name} OBJECT ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(${name} PUBLIC ${ARG_DEPS})
endfunction()

function(acaciadeal_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} doctest_main)
  add_test(NAME ${name} COMMAND ${name})
  # The timeout only terminates a hung test; no test asserts how long something takes.
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
