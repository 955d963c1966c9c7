#pragma once

#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "command.h"

namespace kingcupshunt::cli {

/// Parses arguments; prints help, version or an error itself. Empty: end with `code`.
std::optional<cxxopts::ParseResult> parse_options(cxxopts::Options& options, arguments args,
                                                  const std::string& required, int& code);

} // namespace kingcupshunt::cli
