#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/control/http_message.h"
#include "kingcupshunt/fleet/control_core.h"
#include "kingcupshunt/fleet/document_log.h"
#include "kingcupshunt/settings/role_settings.h"

namespace kingcupshunt::node {

struct control_node_hooks {
  /// Parses the text of a configuration into its entities. Called on any thread.
  std::function<fleet::document_result<config::record_list>(const std::string& text)> parse;
  /// Rereads the settings; empty when they can't be read.
  std::function<std::optional<settings::role_settings>()> reload;
};

/// One control instance: the replicated log and its storage, the control logic on top of it, and
/// the HTTP listeners for control and directory requests.
class control_node {
public:
  /// Opens the data folder and the peer listener. The error is a one-line message for operators.
  static base::result<std::unique_ptr<control_node>, std::string>
  open(const settings::role_settings& settings, control_node_hooks hooks);
  ~control_node();
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  /// Opens the control and directory listeners with these handlers. Call before run.
  void set_handlers(control::http_handler control, control::http_handler directory);

  fleet::control_core& core() noexcept;
  fleet::document_log& documents() noexcept;
  const settings::role_settings& settings() const noexcept;
  /// Increments the counter `name` with the label `kind` on the metrics page.
  void count(std::string_view name, std::string_view kind);

  /// Runs `work` beside the event loop, one call after another, then `done` on the event loop.
  void run_aside(std::function<void()> work, std::function<void()> done);

  /// Serves until SIGTERM or SIGINT.
  void run();

private:
  struct impl;
  explicit control_node(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

} // namespace kingcupshunt::node
