#include <iostream>

#include <nlohmann/json.hpp>

#include "command.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/node/config_folder.h"
#include "options.h"

namespace kingcupshunt::cli {

int check(arguments args) {
  cxxopts::Options options("kingcupshunt check", "Validates a configuration folder.\n");
  options.add_options()("print", "Print the merged document")("folder", "The configuration folder",
                                                              cxxopts::value<std::string>());
  options.parse_positional("folder");
  options.positional_help("FOLDER");
  int code = exit_ok;
  const auto parsed = parse_options(options, args, "folder", code);
  if (!parsed) {
    return code;
  }
  const auto files = node::read_folder((*parsed)["folder"].as<std::string>());
  if (!files) {
    std::cerr << files.error().path << ": " << node::message_of(files.error().code) << '\n';
    return exit_bad_input;
  }
  const auto snapshot = config::parse(files.value());
  if (!snapshot) {
    std::cerr << config::describe(snapshot.error()) << '\n';
    return exit_bad_input;
  }
  if (parsed->count("print") > 0) {
    std::cout << config::merge(files.value()).value().dump(2) << '\n';
    return exit_ok;
  }
  const auto& s = snapshot.value();
  std::cout << "valid: " << files.value().size() << " files, " << s.services().size()
            << " services, " << s.routes().size() << " routes, " << s.workspaces().size()
            << " workspaces, " << s.keys().size() << " keys\n";
  return exit_ok;
}

} // namespace kingcupshunt::cli
