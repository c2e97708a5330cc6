# Fails unless clang-tidy with the committed .clang-tidy reports each of CHECKS (separated by ";") in SOURCE, a file that
# violates each of them.
execute_process(COMMAND ${CLANG_TIDY} --config-file=${ROOT}/.clang-tidy --quiet ${SOURCE} -- -x c++ -std=c++20
                OUTPUT_VARIABLE text ERROR_VARIABLE text RESULT_VARIABLE status)
if(status EQUAL 0)
  message(FATAL_ERROR "clang-tidy passed ${SOURCE}")
endif()
foreach(check IN LISTS CHECKS)
  if(NOT text MATCHES "\\[${check}[],]")
    message(FATAL_ERROR "${check} did not report its violation:\n${text}")
  endif()
endforeach()
