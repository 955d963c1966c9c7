#include <iostream>

#include "command.h"
#include "kingcupshunt/node/instance.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/settings/process_settings.h"
#include "options.h"

namespace kingcupshunt::cli {

int run(arguments args) {
  cxxopts::Options options("kingcupshunt run", "Runs one instance until SIGTERM or SIGINT.\n");
  options.add_options()("settings", "The settings file", cxxopts::value<std::string>());
  options.parse_positional("settings");
  options.positional_help("SETTINGS");
  int code = exit_ok;
  const auto parsed = parse_options(options, args, "settings", code);
  if (!parsed) {
    return code;
  }
  auto settings = settings::load((*parsed)["settings"].as<std::string>());
  if (!settings) {
    std::cerr << settings::describe(settings.error()) << '\n';
    return exit_bad_input;
  }
  observe::start_logging("kingcupshunt");
  auto instance = node::instance::open(std::move(settings.value()));
  if (!instance) {
    std::cerr << instance.error() << '\n';
    return exit_failed;
  }
  instance.value()->run();
  return exit_ok;
}

} // namespace kingcupshunt::cli
