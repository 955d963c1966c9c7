#include <iostream>

#include "command.h"
#include "kingcupshunt/auth/key.h"
#include "options.h"

namespace kingcupshunt::cli {

int keygen(arguments args) {
  cxxopts::Options options("kingcupshunt keygen",
                           "Makes a workspace key or service secret. The configuration folder "
                           "holds the hash only.\n");
  int code = exit_ok;
  if (!parse_options(options, args, "", code)) {
    return code;
  }
  const auto made = auth::generate_key();
  std::cout << "key    " << made.text << "\nsha256 " << base::to_hex(made.sha256) << '\n';
  return exit_ok;
}

} // namespace kingcupshunt::cli
