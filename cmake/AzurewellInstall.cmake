# Rules for `cmake --install` and the package files for find_package(azurewell).
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
install(DIRECTORY examples/quickstart examples/vigia-andina examples/cintrage-tubes
        DESTINATION ${CMAKE_INSTALL_DATADIR}/azurewell/examples)
install(FILES packaging/azurewellctl.1 DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES packaging/azurewelld.8 DESTINATION ${CMAKE_INSTALL_MANDIR}/man8)
install(FILES packaging/azurewelld.service DESTINATION lib/systemd/system)

# `cpack` in the build directory builds a Debian package.
set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGE_NAME azurewell)
set(CPACK_PACKAGE_CONTACT "azurewell maintainers <maintainers@users.noreply.azurewell.example>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY "Serving layer for very many LoRA adapters")
set(CPACK_PACKAGING_INSTALL_PREFIX /usr)
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_DEBIAN_FILE_NAME DEB-DEFAULT)
set(CPACK_STRIP_FILES ON)
include(CPack)
