#pragma once

#include <span>
#include <string>

#include "kingcupshunt/cli/exit_code.h"

namespace kingcupshunt::cli {

using arguments = std::span<char*>;

/// `args[0]` is the subcommand's name. Each returns an exit code.
int run(arguments args);
int entry(arguments args);
int control(arguments args);
int check(arguments args);
int status(arguments args);
int explain(arguments args);
int keygen(arguments args);

} // namespace kingcupshunt::cli
