#include <array>
#include <cstring>
#include <exception>
#include <iostream>
#include <string_view>

#include "command.h"
#include "kingcupshunt/observe/build.h"

namespace {

using namespace kingcupshunt;

struct subcommand {
  std::string_view name;
  std::string_view brief;
  int (*main)(cli::arguments);
};

constexpr std::array<subcommand, 7> subcommands = {{
    {"run", "run one instance", cli::run},
    {"entry", "run an entry instance with the settings of the platform", cli::entry},
    {"control", "run a control instance with the settings of the platform", cli::control},
    {"check", "validate a configuration folder", cli::check},
    {"status", "show what an instance sees", cli::status},
    {"explain", "show the decisions about an upstream, request, workspace or instance",
     cli::explain},
    {"keygen", "make a workspace key or service secret and its hash", cli::keygen},
}};

void print_help() {
  std::cout << "Usage: kingcupshunt COMMAND [OPTIONS]\n\nCommands:\n";
  for (const auto& it : subcommands) {
    std::cout << "  " << it.name << std::string(10 - it.name.size(), ' ') << it.brief << '\n';
  }
  std::cout << "\nkingcupshunt COMMAND --help shows the options of a command.\n"
               "Exit codes: 0 success, 1 failure, 2 wrong arguments, 3 invalid settings or\n"
               "configuration, 4 no answer from the instance asked.\n";
}

int dispatch(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "--help";
  if (name == "--help" || name == "-h" || name == "help") {
    print_help();
    return argc > 1 ? cli::exit_ok : cli::exit_usage;
  }
  if (name == "--version") {
    std::cout << observe::describe(observe::this_build()) << '\n';
    return cli::exit_ok;
  }
  for (const auto& it : subcommands) {
    if (it.name == name) {
      return it.main({argv + 1, static_cast<std::size_t>(argc - 1)});
    }
  }
  std::cerr << "unknown command \"" << name << "\"; see kingcupshunt --help\n";
  return cli::exit_usage;
}

} // namespace

int main(int argc, char** argv) {
  try {
    return dispatch(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "event=fatal message=\"" << e.what() << "\"\n";
    return cli::exit_failed;
  }
}
