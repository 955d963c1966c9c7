#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::rates {

/// Owners of workspaces by rendezvous hashing over the active members of one view.
class owner_map {
public:
  /// Applies a view. Returns false when it is not newer than the current one.
  bool set_view(const membership::fleet_view& view);

  /// Owner of `workspace`, empty when no member is active.
  std::string_view pick(std::string_view workspace) const;

  /// Owner, after the last set_view, of a workspace that `before` owned until then. Costs one hash
  /// for each added member instead of one for each member.
  std::string_view repick(std::string_view workspace, std::string_view before) const;

  std::uint64_t version() const noexcept { return version_; }
  bool has_view() const noexcept { return has_view_; }
  const std::vector<std::string>& active() const noexcept { return active_; }
  /// Members that the last set_view added to the active ones.
  const std::vector<std::string>& added() const noexcept { return added_; }

private:
  std::uint64_t version_ = 0;
  bool has_view_ = false;
  std::vector<std::string> active_;
  std::vector<std::string> added_;
};

} // namespace kingcupshunt::rates
