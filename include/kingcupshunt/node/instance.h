#pragma once

#include <memory>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::node {

/// One instance of the fleet: all listeners, timers and decisions of a process.
class instance {
public:
  /// Opens disk and listeners. The error is a line for operators.
  static base::result<std::unique_ptr<instance>, std::string>
  open(settings::process_settings settings);

  ~instance();
  instance(const instance&) = delete;
  instance& operator=(const instance&) = delete;

  /// Runs until SIGTERM or SIGINT and a graceful stop.
  void run();

private:
  struct impl;
  explicit instance(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

} // namespace kingcupshunt::node
