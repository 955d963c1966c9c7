#pragma once

#include <optional>
#include <string>

#include "fleet_state.h"
#include "kingcupshunt/node/config_folder.h"
#include "kingcupshunt/node/folder_merge.h"
#include "runtime.h"

namespace kingcupshunt::node {

/// Watches the configuration folder of a voter and proposes what its operator changed.
class folder_task {
public:
  folder_task(const runtime& rt, fleet_state& fleet);

  /// Scans when it is due and no proposal is outstanding.
  void tick(base::time_point now);

private:
  void evaluate(const config::files& folder, base::time_point now);
  void propose(folder_plan plan, const config::files& folder, base::time_point now);
  void log_once(const std::string& outcome, const std::string& evidence);
  void store_base();

  runtime rt_;
  fleet_state& fleet_;
  folder_watch watch_;
  folder_base base_;
  config::files last_refused_; ///< folder of the last refused proposal
  std::uint64_t last_refused_revision_ = 0;
  bool is_proposing_ = false;
  std::string last_logged_; ///< the same finding is logged once
  base::time_point next_scan_{};
};

} // namespace kingcupshunt::node
