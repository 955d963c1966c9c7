#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/proxy/wire_names.h"
#include "kingcupshunt/settings/role_settings.h"

namespace kingcupshunt::node {

struct entry_node_hooks {
  /// Rereads the settings; empty when they can't be read.
  std::function<std::optional<settings::role_settings>()> reload;
  /// Path on the readiness listener that answers 200 while the instance is ready, else 503.
  std::string readiness_path = "/healthz";
};

/// One entry instance: accepts requests from callers and forwards them to backend servers.
class entry_node {
public:
  /// Opens the listeners. The error is a one-line message for operators.
  static base::result<std::unique_ptr<entry_node>, std::string>
  open(const settings::role_settings& settings, proxy::wire_names names, entry_node_hooks hooks);
  ~entry_node();
  entry_node(const entry_node&) = delete;
  entry_node& operator=(const entry_node&) = delete;

  /// Serves until SIGTERM or SIGINT.
  void run();

private:
  struct impl;
  explicit entry_node(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

} // namespace kingcupshunt::node
