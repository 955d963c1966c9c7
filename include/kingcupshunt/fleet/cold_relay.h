#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/rates/cold_bound.h"
#include "kingcupshunt/rates/permit_issuer.h"

namespace kingcupshunt::fleet {

/// The part of a relay that issues the permits for cold servers, without I/O. Entries report which
/// servers are cold; each request to one of these needs a permit.
///
/// Each relay issues the part of a server's rate that belongs to the entries that report to it. The
/// parts of all relays add up to one at most, since each divides by all entries that have been
/// heard from lately.
class cold_relay {
public:
  explicit cold_relay(rates::cold_bound bound)
      : bound_(bound), permits_({.min_rate = 0, .max_accrual = rates::cold_permit_accrual}) {}

  /// An entry instance is known to run, whichever relay it reports to.
  void note_entry(std::string_view id, std::string_view data_centre, base::time_point now);

  /// A report of an entry to this relay.
  void on_report(std::string_view from, const load_report& report, base::time_point now);
  /// Notes that other relays received.
  void on_share(std::span<const cold_note> notes, base::time_point now);

  /// Permits by entry that have accrued since the last call. Without contact with a majority of the
  /// control instances there are none: other relays may issue them now.
  std::map<std::string, permit_grant> issue(bool has_majority, base::time_point now);

  /// All cold servers, for an entry that begins to report here.
  std::vector<cold_note> notes(base::time_point now) const;
  /// Servers that became cold, or are cold for longer, since the last call, and once a second those
  /// with recent first-hand reports: for the entries that report here, and for the other relays.
  std::vector<cold_note> take_news(base::time_point now);
  std::vector<cold_note> take_share(base::time_point now);
  bool has_news() const noexcept { return !news_.empty(); }

  std::size_t size() const noexcept { return servers_.size(); }

private:
  struct cold_server {
    base::time_point until{};
    double per_second = 0;
    std::string data_centre;
    base::time_point reported_at{}; ///< last first-hand report to this relay
    base::time_point stated_at{};   ///< the same, or a note of another relay
    base::time_point repeat_at{};
    /// Entries with requests for the service, and when they last said so.
    std::map<std::string, base::time_point, std::less<>> wanted_by;
  };
  struct running_entry {
    std::string data_centre;
    base::time_point at{};
  };
  struct last_report {
    std::uint64_t stamp = 0;
    base::time_point at{};
    base::time_point since{}; ///< first one without a gap
  };

  bool note_cold(const cold_note& note, base::time_point now);
  void repeat_notes(base::time_point now);
  void expire(base::time_point now);
  rates::permit_recipients recipients_of(std::string_view server, base::time_point now) const;
  std::vector<cold_note> take(std::vector<std::string>& ids, base::time_point now) const;
  static cold_note to_note(std::string_view id, const cold_server& s, base::time_point now);

  rates::cold_bound bound_;
  rates::permit_issuer permits_;
  std::map<std::string, cold_server, std::less<>> servers_;
  std::map<std::string, running_entry, std::less<>> entries_;
  std::map<std::string, last_report, std::less<>> reports_; ///< last one of each entry
  std::vector<std::string> news_;
  std::vector<std::string> to_share_;
  std::optional<base::time_point> called_at_; ///< last call of `issue`
  base::time_point issue_from_{};             ///< no permits are issued before
};

} // namespace kingcupshunt::fleet
