#include "command.h"
#include "commands.h"
#include "options.h"

namespace kingcupshunt::cli {

namespace {

int run_role(arguments args, const char* name, const char* brief, int (*role)()) {
  cxxopts::Options options(std::string("kingcupshunt ") + name, brief);
  int code = exit_ok;
  const auto parsed = parse_options(options, args, "", code);
  return parsed ? role() : code;
}

} // namespace

int entry(arguments args) {
  return run_role(args, "entry",
                  "Runs an entry instance with the settings of the platform until SIGTERM.\n",
                  platform::run_entry);
}

int control(arguments args) {
  return run_role(args, "control",
                  "Runs a control instance with the settings of the platform until SIGTERM.\n",
                  platform::run_control);
}

} // namespace kingcupshunt::cli
