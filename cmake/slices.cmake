# fulmar_slice(<name> [DEPENDS <slice>...] [TEST_ARGUMENTS <argument>...])
#
# Builds the library fulmar_<name> from the *.cpp files of the current source
# directory, except *_test.cpp, *_main.cpp and *_fuzz.cpp. If there are
# *_test.cpp files, also builds the test program <name>_test and adds it to
# ctest. With FULMAR_FUZZ, builds one libFuzzer target per *_fuzz.cpp file.
function(fulmar_slice name)
  cmake_parse_arguments(slice "" "" "DEPENDS;TEST_ARGUMENTS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_main.cpp)
  file(GLOB fuzzers CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_fuzz.cpp)
  if(tests OR mains OR fuzzers)
    list(REMOVE_ITEM sources ${tests} ${mains} ${fuzzers})
  endif()
  if(sources)
    add_library(fulmar_${name} STATIC ${sources})
    # The id must be recorded before any object is built.
    add_dependencies(fulmar_${name} fulmar_source_id)
    set(visibility PUBLIC)
  else()
    add_library(fulmar_${name} INTERFACE)
    set(visibility INTERFACE)
  endif()
  target_link_libraries(fulmar_${name} ${visibility} fulmar_flags)
  foreach(dependency ${slice_DEPENDS})
    target_link_libraries(fulmar_${name} ${visibility} fulmar_${dependency})
  endforeach()
  if(tests)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE
      fulmar_${name} fulmar_test_main)
    add_test(NAME ${name} COMMAND ${name}_test ${slice_TEST_ARGUMENTS})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
  if(FULMAR_FUZZ)
    foreach(fuzzer ${fuzzers})
      get_filename_component(target ${fuzzer} NAME_WE)
      add_executable(${target} ${fuzzer})
      target_compile_options(${target} PRIVATE -fsanitize=fuzzer)
      target_link_options(${target} PRIVATE -fsanitize=fuzzer)
      target_link_libraries(${target} PRIVATE fulmar_${name})
    endforeach()
  endif()
endfunction()

# fulmar_program(<name> <main source> <slice>...)
#
# Builds the program bin/<name> and links the libraries of the slices.
function(fulmar_program name source)
  add_executable(${name} ${source})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  foreach(dependency ${ARGN})
    target_link_libraries(${name} PRIVATE fulmar_${dependency})
  endforeach()
endfunction()
