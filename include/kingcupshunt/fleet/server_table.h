#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/server_record.h"

namespace kingcupshunt::fleet {

/// What a merge did with a record.
enum class merge_result : std::uint8_t {
  stale,    ///< older than what is held; nothing changed
  repeated, ///< newer, but says nothing new
  changed   ///< others need to know
};

/// Backend servers by id, merged from announcements that may come late, twice or out of order.
///
/// The later incarnation of an id wins, then the higher sequence. Within an incarnation a server
/// never goes back from gone to draining or from draining to ready. One address belongs to the
/// incarnation born last; the former holder of an address counts as gone.
class server_table {
public:
  merge_result merge(server_record record, base::time_point now);

  /// Notes a direct announcement, by which the server is not silent.
  void note_announcement(std::string_view id, base::time_point now);

  /// Marks the servers of `home` that have been unheard for `limit` as silent. Returns how many.
  std::size_t mark_silent(std::string_view home, base::duration limit, base::time_point now);

  /// Forgets gone servers after `gone_retention` and silent ones after `silent_retention`.
  void remove_expired(base::duration gone_retention, base::duration silent_retention,
                      base::time_point now);

  const server_record* find(std::string_view id) const;
  std::size_t size() const noexcept { return entries_.size(); }

  /// Rises with each change; position 0 is the empty table.
  std::uint64_t position() const noexcept { return position_; }
  /// Records changed after `position`, oldest change first.
  std::vector<server_record> changed_since(std::uint64_t position) const;

private:
  struct entry {
    server_record record;
    std::uint64_t position = 0;
    base::time_point received_at{};
    base::time_point changed_at{};
  };

  bool is_superseded(const server_record& record) const;
  void supersede_address(const server_record& record, base::time_point now);
  void touch(entry& e, base::time_point now);

  std::map<std::string, entry, std::less<>> entries_;
  std::map<std::string, std::string, std::less<>> holders_; ///< address to the id born last there
  std::uint64_t position_ = 0;
};

} // namespace kingcupshunt::fleet
