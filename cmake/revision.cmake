# Writes the header OUTPUT with the commit and the hash of the sources in SOURCE that the program is
# built from. Run with cmake -P at each build; the header changes only when they do.
cmake_minimum_required(VERSION 3.25)

function(git_output out)
  execute_process(COMMAND git -C "${SOURCE}" ${ARGN} RESULT_VARIABLE failed OUTPUT_VARIABLE text
                  ERROR_QUIET OUTPUT_STRIP_TRAILING_WHITESPACE)
  if(failed)
    set(text "")
  endif()
  set(${out} "${text}" PARENT_SCOPE)
endfunction()

set(parts CMakeLists.txt cmake src include platform)

# A copy without .git may lie within another repository.
if(EXISTS "${SOURCE}/.git")
  git_output(COMMIT rev-parse --short=12 HEAD)
  git_output(changes status --porcelain -- ${parts})
endif()
if(NOT COMMIT)
  set(COMMIT "no-git")
elseif(changes)
  string(APPEND COMMIT "+changes")
endif()

set(listing "")
foreach(part IN LISTS parts)
  if(IS_DIRECTORY "${SOURCE}/${part}")
    file(GLOB_RECURSE files RELATIVE "${SOURCE}" "${SOURCE}/${part}/*")
  else()
    set(files "${part}")
  endif()
  list(SORT files)
  foreach(file IN LISTS files)
    file(SHA256 "${SOURCE}/${file}" hash)
    string(APPEND listing "${hash}  ${file}\n")
  endforeach()
endforeach()
string(SHA256 SOURCES "${listing}")
string(SUBSTRING "${SOURCES}" 0 12 SOURCES)

file(CONFIGURE OUTPUT "${OUTPUT}" CONTENT [[#pragma once

#define KINGCUPSHUNT_COMMIT "@COMMIT@"
#define KINGCUPSHUNT_SOURCES "@SOURCES@"
]] @ONLY)
