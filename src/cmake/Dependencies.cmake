# Third-party packages, as interface targets. Each is one of the packages in src/build-scripts/install-packages.sh.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log thread)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(HTTPLIB_LIBRARY cpp-httplib REQUIRED)
if(CORNELTRAY_TESTS)
  find_library(CLP_LIBRARY Clp REQUIRED)
  find_library(COINUTILS_LIBRARY CoinUtils REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

add_library(corneltray_dependencies INTERFACE)
# websocketpp works over standalone Asio when these macros are set. Without ASIO_DISABLE_STD_ALIGNED_ALLOC the allocator of
# Asio depends on the order of headers in a unit, and units that differ free what the others allocated.
target_compile_definitions(corneltray_dependencies INTERFACE
  ASIO_STANDALONE ASIO_DISABLE_STD_ALIGNED_ALLOC _WEBSOCKETPP_CPP11_STL_ BOOST_LOG_DYN_LINK BOOST_ALL_DYN_LINK)
# Debian builds cpp-httplib as a shared library with OpenSSL. The macro changes the layout of its classes, so it has to
# match the library.
target_compile_definitions(corneltray_dependencies INTERFACE CPPHTTPLIB_OPENSSL_SUPPORT)
target_link_libraries(corneltray_dependencies INTERFACE
  Threads::Threads OpenSSL::Crypto Boost::log Boost::thread ZLIB::ZLIB ${XXHASH_LIBRARY} ${HTTPLIB_LIBRARY}
  ${HTTP_PARSER_LIBRARY})

if(CORNELTRAY_TESTS)
  add_library(corneltray_test_dependencies INTERFACE)
  target_link_libraries(corneltray_test_dependencies INTERFACE ${RAPIDCHECK_LIBRARY})

  add_library(corneltray_bench_dependencies INTERFACE)
  target_include_directories(corneltray_bench_dependencies SYSTEM INTERFACE /usr/include/coin)
  target_link_libraries(corneltray_bench_dependencies INTERFACE ${CLP_LIBRARY} ${COINUTILS_LIBRARY})
endif()
