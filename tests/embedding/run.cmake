# Installs the package from BUILD into WORK, then configures, builds and runs SOURCE against it.
file(REMOVE_RECURSE ${WORK})
foreach(command IN ITEMS
        "${CMAKE_COMMAND};--install;${BUILD};--prefix;${WORK}/prefix"
        "${CMAKE_COMMAND};-S;${SOURCE};-B;${WORK}/build;-DCMAKE_PREFIX_PATH=${WORK}/prefix;-DCMAKE_CXX_FLAGS=${FLAGS}"
        "${CMAKE_COMMAND};--build;${WORK}/build"
        "${WORK}/build/embedding")
  execute_process(COMMAND ${command} INPUT_FILE /dev/null COMMAND_ERROR_IS_FATAL ANY)
endforeach()
