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
  /// Reads the settings again; empty when they can't be read now.
  std::function<std::optional<settings::role_settings>()> reload;
  /// Path that answers 200 while the instance is ready, on the readiness listener.
  std::string readiness_path = "/healthz";
};

/// One entry instance: takes requests from callers and sends them to backend servers.
class entry_node {
public:
  /// Listens. The error is a line for operators.
  static base::result<std::unique_ptr<entry_node>, std::string>
  open(settings::role_settings settings, proxy::wire_names names, entry_node_hooks hooks);
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
