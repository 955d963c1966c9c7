#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/state/command.h"
#include "kingcupshunt/state/delta.h"
#include "kingcupshunt/state/document.h"
#include "kingcupshunt/state/request_table.h"
#include "kingcupshunt/state/reservation_table.h"

namespace kingcupshunt::state {

struct machine_settings {
  request_table::settings requests;
  reservation_table::settings reservations;
  std::size_t max_folder_bytes = 256U << 20U;
  std::size_t max_files = 500000;
  std::size_t max_members = 10000;
};

/// The replicated state machine. Every voter applies the same commands and reaches the same state:
/// it reads no clock, and nothing that it returns depends on the order of a hash table.
class machine {
public:
  /// `on_delta` is called for each new revision, with what it changed. May be empty.
  explicit machine(machine_settings settings, std::function<void(const delta&)> on_delta = {});

  /// Applies one packed `command`.
  command_result apply(std::string_view payload);

  std::uint64_t revision() const noexcept { return revision_; }
  /// Revision of the last change of files; base of the next change.
  std::uint64_t files_revision() const noexcept { return files_revision_; }
  const std::string& files_author() const noexcept { return files_author_; }
  const document& configuration() const noexcept { return document_; }
  const membership::fleet_view& view() const noexcept { return view_; }
  /// The view before the last change of it; its majority counts until the change has settled.
  const membership::fleet_view& former_view() const noexcept { return former_view_; }
  /// Log time in milliseconds; rises with the commands and has no relation to a clock.
  std::uint64_t time_ms() const noexcept { return time_ms_; }
  const reservation_table& reservations() const noexcept { return reservations_; }
  const request_table& requests() const noexcept { return requests_; }

  /// Everything, for the snapshot of the log.
  std::string save() const;
  /// Replaces everything by a result of save. False: not readable, nothing changed.
  bool restore(std::string_view data);

  /// The part that every instance follows.
  image make_image() const;

private:
  command_result apply_once(const std::string& id, std::string_view body,
                            const std::function<command_result()>& run);
  command_result run(const change_files& c);
  command_result run(const set_view& c);
  bool is_within_bounds(const change_files& c) const;

  machine_settings settings_;
  std::function<void(const delta&)> on_delta_;
  document document_;
  membership::fleet_view view_;
  membership::fleet_view former_view_;
  std::uint64_t revision_ = 0;
  std::uint64_t files_revision_ = 0;
  std::string files_author_;
  std::uint64_t view_revision_ = 0;
  std::string view_author_;
  std::uint64_t time_ms_ = 0;
  request_table requests_;
  reservation_table reservations_;
};

} // namespace kingcupshunt::state
