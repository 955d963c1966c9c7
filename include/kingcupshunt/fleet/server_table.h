#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/departure_list.h"
#include "kingcupshunt/fleet/server_record.h"

namespace kingcupshunt::fleet {

/// Some changes of a table: all of those after one position up to another.
struct table_changes {
  std::vector<server_record> records; ///< oldest change first
  std::uint64_t to = 0;               ///< position after these changes
  bool has_more = false;              ///< there are later ones
};

/// Effect of a merge.
enum class merge_result : std::uint8_t {
  stale,    ///< older than the held record; nothing changed
  repeated, ///< newer, with the same content
  changed   ///< content changed; to be sent to other instances
};

/// Backend servers by id, merged from announcements that may be delayed, duplicated or reordered.
///
/// The later incarnation of an id wins, then the higher sequence. Within an incarnation the state
/// never goes back from gone to draining or from draining to ready, also when the record itself has
/// been removed. An address belongs to the incarnation that started last; the previous holder of
/// the address becomes gone.
///
/// A record states how long its server remains cold. The table counts that down, so that a record
/// that is sent on late states what is left.
class server_table {
public:
  merge_result merge(server_record record, base::time_point now);

  /// Records the time of a direct announcement, from which the server's silence is measured.
  void note_announcement(std::string_view id, base::time_point now);

  /// Marks the servers of `home` that have not announced themselves for `limit` as silent. Returns
  /// their number.
  std::size_t mark_silent(std::string_view home, base::duration limit, base::time_point now);

  /// Notes a departure that was acknowledged before, without a record of the server.
  void note_departed(const server_record& record, base::time_point now);

  /// Whether a leave of this incarnation, or within a shorter time of a later one, is in effect.
  bool has_left(std::string_view id, std::uint64_t started_ms, base::time_point now) const;

  /// Removes gone servers after `gone_retention`, and departures after theirs.
  void remove_gone(base::duration gone_retention, base::time_point now);
  /// Removes servers without any update for `silent_retention`.
  void remove_silent(base::duration silent_retention, base::time_point now);

  const server_record* find(std::string_view id) const;
  std::size_t size() const noexcept { return entries_.size(); }

  /// Increases with each change; position 0 is the empty table.
  std::uint64_t position() const noexcept { return position_; }
  /// Records changed after `position`, oldest change first. Their `cold_left_ms` is that of the
  /// last change.
  std::vector<server_record> changed_since(std::uint64_t position) const;
  /// The same, with the time left at `now`.
  std::vector<server_record> changed_since(std::uint64_t position, base::time_point now) const;
  /// The first of these, up to about `max_bytes` in a message, and the departures of servers that
  /// the table has no record of.
  table_changes changes_since(std::uint64_t position, std::size_t max_bytes,
                              base::time_point now) const;
  /// Departures noted after `position`, up to about `max_bytes` in a message.
  table_changes departures_since(std::uint64_t position, std::size_t max_bytes) const;
  const departure_list& departures() const noexcept { return departures_; }

private:
  struct entry {
    server_record record;
    std::uint64_t position = 0;
    base::time_point received_at{};
    base::time_point changed_at{};
    base::time_point cold_until{}; ///< as the last change stated it
  };

  merge_result merge_known(entry& e, server_record record, base::time_point now);
  bool is_superseded(const server_record& record) const;
  bool is_listed(const departure_list::departure& d) const;
  std::vector<const entry*> entries_since(std::uint64_t position) const;
  void remove_holder(const server_record& record);
  void supersede_address(const server_record& record, base::time_point now);
  void touch(entry& e, base::time_point now);
  static std::uint32_t cold_left_ms(const entry& e, base::time_point now);
  static bool note_cold(entry& e, const server_record& record, bool is_new, base::time_point now);

  std::map<std::string, entry, std::less<>> entries_;
  std::map<std::string, std::string, std::less<>>
      holders_; ///< address to the id that started last there
  departure_list departures_;
  std::uint64_t position_ = 0;
};

} // namespace kingcupshunt::fleet
