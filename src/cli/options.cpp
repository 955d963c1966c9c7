#include "options.h"

#include <iostream>

#include "kingcupshunt/observe/build.h"

namespace kingcupshunt::cli {

std::optional<cxxopts::ParseResult> parse_options(cxxopts::Options& options, arguments args,
                                                  const std::string& required, int& code) {
  options.add_options()("h,help", "Print this help")("version", "Print the version");
  try {
    auto parsed = options.parse(static_cast<int>(args.size()), args.data());
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      code = exit_ok;
      return std::nullopt;
    }
    if (parsed.count("version") > 0) {
      std::cout << observe::describe(observe::this_build()) << '\n';
      code = exit_ok;
      return std::nullopt;
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << "unexpected argument \"" << parsed.unmatched().front() << "\"\n";
      code = exit_usage;
      return std::nullopt;
    }
    if (!required.empty() && parsed.count(required) == 0) {
      std::cerr << "missing " << required << "\n\n" << options.help();
      code = exit_usage;
      return std::nullopt;
    }
    return parsed;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << '\n';
    code = exit_usage;
    return std::nullopt;
  }
}

} // namespace kingcupshunt::cli
