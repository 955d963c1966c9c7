#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/control/http_message.h"
#include "kingcupshunt/fleet/control_core.h"
#include "kingcupshunt/fleet/document_log.h"
#include "kingcupshunt/settings/role_settings.h"

namespace kingcupshunt::node {

struct control_node_hooks {
  /// Parses the text of a configuration into the merged document.
  std::function<fleet::document_result<nlohmann::json>(const std::string& text)> parse;
  /// Reads the settings again; empty when they can't be read now.
  std::function<std::optional<settings::role_settings>()> reload;
};

/// One control instance: the replicated log with its disk, the cores around it, and the listeners
/// for announcements, operators and callers.
class control_node {
public:
  /// Opens the data folder and listens. The error is a line for operators.
  static base::result<std::unique_ptr<control_node>, std::string>
  open(settings::role_settings settings, control_node_hooks hooks);
  ~control_node();
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  /// Who answers on the control and directory listeners. Call before run.
  void set_handlers(control::http_handler control, control::http_handler directory);

  fleet::control_core& core() noexcept;
  fleet::document_log& documents() noexcept;
  const settings::role_settings& settings() const noexcept;
  /// Counts an event, for the metrics page.
  void count(std::string_view name, std::string_view kind);

  /// Serves until SIGTERM or SIGINT.
  void run();

private:
  struct impl;
  explicit control_node(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

} // namespace kingcupshunt::node
