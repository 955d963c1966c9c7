#pragma once

#include <memory>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::node {

/// One instance of the fleet: owns the event loop, listeners and timers of the process.
class instance {
public:
  /// Opens storage and listeners. The error is a one-line message for operators.
  static base::result<std::unique_ptr<instance>, std::string>
  open(settings::process_settings settings);

  ~instance();
  instance(const instance&) = delete;
  instance& operator=(const instance&) = delete;

  /// Runs until SIGTERM or SIGINT, then stops gracefully.
  void run();

private:
  struct impl;
  explicit instance(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

} // namespace kingcupshunt::node
