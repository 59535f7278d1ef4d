# Adds one executable for each folder under src/ that holds a program. Unit tests beside a program's sources are left out.
function(corneltray_add_programs)
  # Parts that the stand-ins share; no program of the product links them.
  file(GLOB fake_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/fake-common/*.cc)
  add_library(fake_common STATIC ${fake_sources})
  target_link_libraries(fake_common PUBLIC corneltray)
  foreach(program corneltray-entry corneltray-control corneltray-placement corneltrayctl
                  fake-engine fake-service fake-weight-store)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${program}/*.cc)
    list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
    if(sources)
      add_executable(${program} ${sources})
      target_link_libraries(${program} PRIVATE corneltray)
      if(program MATCHES "^fake-")
        target_link_libraries(${program} PRIVATE fake_common)
      endif()
    endif()
  endforeach()
endfunction()
