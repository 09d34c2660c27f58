# Run by each build. Writes version.cpp, and to `built_from` the id of the
# sources from which all objects of the build folder come; `mixed` after builds
# from different sources.
execute_process(
  COMMAND ${SOURCE_DIRECTORY}/support/source-id
  OUTPUT_VARIABLE id OUTPUT_STRIP_TRAILING_WHITESPACE
  COMMAND_ERROR_IS_FATAL ANY)

set(record ${BINARY_DIRECTORY}/built_from)
set(sources ${id})
if(EXISTS ${record})
  file(STRINGS ${record} earlier_sources)
  if(NOT earlier_sources STREQUAL id)
    set(sources mixed)
  endif()
endif()
file(WRITE ${record} "${sources}\n")

# Has no effect when the content is the same.
file(CONFIGURE OUTPUT ${BINARY_DIRECTORY}/generated/version.cpp
  CONTENT "#include <fulmarjunction/core/version.hpp>

namespace fulmarjunction {

std::string_view program_version()
{
    return \"${PROGRAM_VERSION}\";
}

std::string_view source_id()
{
    return \"${id}\";
}

} // namespace fulmarjunction
" @ONLY)
