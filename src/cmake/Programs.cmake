# Adds one executable for each folder under src/ that holds a program. Unit tests beside a program's sources are left out.
function(corneltray_add_programs)
  foreach(program corneltray-entry corneltray-control corneltray-placement corneltrayctl
                  fake-engine fake-service fake-weight-store)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${program}/*.cc)
    list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
    if(sources)
      add_executable(${program} ${sources})
      target_link_libraries(${program} PRIVATE corneltray)
    endif()
  endforeach()
endfunction()
