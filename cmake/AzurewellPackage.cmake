# Functions that define the library of a package and its tests.
#
#   azurewell_package(<name> SOURCES <file>... USES <target>...)
#   azurewell_package_tests(<name> SOURCES <file>... [USES <target>...])
#   azurewell_wire(<name> SOURCES <file>...)     committed Thrift code in generated/

# Qt's lower-case macros (slots, signals, emit) clash with ordinary identifiers.
add_compile_definitions(QT_NO_KEYWORDS)
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow)

function(azurewell_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  set(target azurewell_${name})
  add_library(${target} STATIC ${ARG_SOURCES})
  add_library(azurewell::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(${target} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(${target} PUBLIC ${ARG_USES})
  install(TARGETS ${target} EXPORT azurewellTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/include)
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
endfunction()

function(azurewell_package_tests name)
  if(NOT AZUREWELL_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  set(target azurewell_${name}_tests)
  add_executable(${target} ${ARG_SOURCES})
  target_link_libraries(${target} PRIVATE azurewell::${name} ${ARG_USES} GTest::gtest GTest::gtest_main)
  target_compile_definitions(${target} PRIVATE
    AZUREWELL_CHARTS_DIR="${PROJECT_SOURCE_DIR}/charts"
    AZUREWELL_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  gtest_discover_tests(${target} TEST_PREFIX "${name}." DISCOVERY_TIMEOUT 60)
endfunction()

function(azurewell_wire name)
  cmake_parse_arguments(ARG "" "" "SOURCES" ${ARGN})
  set(target azurewell_${name})
  add_library(${target} STATIC ${ARG_SOURCES})
  add_library(azurewell::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(${target} SYSTEM PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/generated>)
  target_compile_options(${target} PRIVATE -w)
  target_link_libraries(${target} PUBLIC ${THRIFT_LIBRARY} Boost::headers)
  install(TARGETS ${target} EXPORT azurewellTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endfunction()
