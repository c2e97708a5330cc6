# Fails when a source is not formatted according to .clang-format, and names each such line. SOURCES: the patterns of the
# source files, separated by ";".
file(GLOB_RECURSE files ${SOURCES})
list(LENGTH files count)
if(count EQUAL 0)
  message(FATAL_ERROR "no sources found")
endif()
execute_process(COMMAND ${CLANG_FORMAT} --dry-run -Werror ${files} RESULT_VARIABLE status)
if(NOT status EQUAL 0)
  message(FATAL_ERROR "not formatted: clang-format -i FILE")
endif()
message(STATUS "${count} files are formatted")
