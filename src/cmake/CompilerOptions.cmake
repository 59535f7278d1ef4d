# Compiler settings shared by all targets, as the interface target corneltray_options.
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

option(CORNELTRAY_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)

add_library(corneltray_options INTERFACE)
target_compile_options(corneltray_options INTERFACE -Wall -Wextra -Werror=return-type -Werror=switch)
target_compile_definitions(corneltray_options INTERFACE CORNELTRAY_VERSION="${PROJECT_VERSION}")
if(CORNELTRAY_SANITIZE)
  target_compile_options(corneltray_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer -O1)
  target_link_options(corneltray_options INTERFACE -fsanitize=address,undefined)
endif()
