# siskinrack_library(<package> SOURCES <file>... [LINKS <target>...])
# Adds the static library siskinrack_<package>. A package may use only the packages
# that it links.
function(siskinrack_library package)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(siskinrack_${package} STATIC ${ARG_SOURCES})
  target_include_directories(siskinrack_${package} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(siskinrack_${package} PUBLIC ${ARG_LINKS})
endfunction()

# siskinrack_unittest(<package> SOURCES <file>... [LINKS <target>...])
# Adds the executable <package>_unittests and registers it as the test unit.<package>.
function(siskinrack_unittest package)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${package}_unittests ${ARG_SOURCES})
  target_link_libraries(${package}_unittests PRIVATE siskinrack_${package} ${ARG_LINKS}
                                                     GTest::gtest GTest::gtest_main)
  add_test(NAME unit.${package} COMMAND ${package}_unittests)
  set_tests_properties(unit.${package} PROPERTIES TIMEOUT 120)
endfunction()
