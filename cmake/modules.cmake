# Helpers that give every folder the same shape.

# Builds src/<module>/*.cc as library cs_<module>, and each *_test.cc there into
# the test program <module>_test. Links what src/<module>/CMakeLists.txt adds.
function(comfreyspring_add_module module)
  set(folder ${CMAKE_SOURCE_DIR}/src/${module})
  if(EXISTS ${folder}/CMakeLists.txt)
    add_subdirectory(src/${module})
  endif()
endfunction()

# Usage, in src/<module>/CMakeLists.txt:
#   comfreyspring_module(config DEPENDS cs_core LIBRARIES nlohmann_json::nlohmann_json)
function(comfreyspring_module module)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;TEST_LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "(_test|_main)\\.cc$")
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  if(sources)
    add_library(cs_${module} STATIC ${sources})
    target_include_directories(cs_${module} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(cs_${module} PUBLIC ${ARG_DEPENDS} ${ARG_LIBRARIES})
  else()
    add_library(cs_${module} INTERFACE)
    target_include_directories(cs_${module} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(cs_${module} INTERFACE ${ARG_DEPENDS} ${ARG_LIBRARIES})
  endif()
  if(tests AND NOT COMFREYSPRING_PROGRAMS_ONLY)
    add_executable(${module}_test ${tests})
    target_link_libraries(${module}_test PRIVATE cs_${module} ${ARG_TEST_LIBRARIES}
      rapidcheck rapidcheck_gtest GTest::gmock GTest::gtest_main)
    comfreyspring_register_test(${module}_test 300)
  endif()
endfunction()

# Registers a GoogleTest program with the fixed rapidcheck seed of CI.
function(comfreyspring_register_test target timeout_seconds)
  add_test(NAME ${target} COMMAND ${target})
  set_tests_properties(${target} PROPERTIES
    TIMEOUT ${timeout_seconds}
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
