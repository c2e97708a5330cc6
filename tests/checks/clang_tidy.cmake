# Runs clang-tidy with the committed .clang-tidy over all translation units of src/. BUILD: the folder with
# compile_commands.json; ROOT: the repository; RUN_CLANG_TIDY, CLANG_TIDY: the programs; JOBS: the number of parallel jobs.
execute_process(COMMAND ${RUN_CLANG_TIDY} -clang-tidy-binary ${CLANG_TIDY} -p ${BUILD} -quiet -j ${JOBS} "^${ROOT}/src/"
                RESULT_VARIABLE status OUTPUT_VARIABLE text ERROR_QUIET)
if(NOT status EQUAL 0)
  string(REGEX MATCHALL "[^\n]*(error|warning):[^\n]*" findings "${text}")
  list(REMOVE_DUPLICATES findings)
  list(JOIN findings "\n" findings)
  message(FATAL_ERROR "clang-tidy:\n${findings}")
endif()
