# Adds the static library endiveshore_<folder> from the sources of the folder, except its program entry points
# (main_<program>.cpp). A folder without sources becomes an interface library.
function(endiveshore_library folder)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main_[^/]*\\.cpp$")
    if(sources)
        add_library(endiveshore_${folder} STATIC ${sources})
        target_link_libraries(endiveshore_${folder} PUBLIC ${ARG_LINK})
    else()
        add_library(endiveshore_${folder} INTERFACE)
        target_link_libraries(endiveshore_${folder} INTERFACE ${ARG_LINK})
    endif()
endfunction()

# Adds the program <name> from <folder>/main_<name without dashes>.cpp, if that file exists.
function(endiveshore_program name folder)
    string(REPLACE "-" "" stem ${name})
    set(main ${CMAKE_SOURCE_DIR}/${folder}/main_${stem}.cpp)
    if(EXISTS ${main})
        add_executable(${name} ${main})
        target_link_libraries(${name} PRIVATE endiveshore_${folder})
    endif()
endfunction()
