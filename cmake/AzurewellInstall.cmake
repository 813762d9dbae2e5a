# `cmake --install` and the files behind find_package(azurewell).
include(CMakePackageConfigHelpers)

install(EXPORT azurewellTargets NAMESPACE azurewell::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azurewell)
configure_package_config_file(cmake/azurewellConfig.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/azurewellConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azurewell)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/azurewellConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/azurewellConfig.cmake
              ${CMAKE_CURRENT_BINARY_DIR}/azurewellConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azurewell)
install(DIRECTORY charts/ DESTINATION ${CMAKE_INSTALL_DATADIR}/azurewell/charts)
