#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/detector_messages.h"
#include "kingcupshunt/membership/flap_damper.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/membership/update_queue.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::membership {

/// What the rest of the instance sees of a member.
enum class member_status : std::uint8_t {
  alive,
  suspect, ///< did not answer by any path; still to be used
  failed,
  left,   ///< stopped as planned
  damped, ///< answers, but failed too often lately to be used
};

const char* name_of(member_status status) noexcept;

/// Incarnation of a process that started at `unix_ms`. The low bits count refutations.
constexpr std::uint64_t make_incarnation(std::uint64_t unix_ms) noexcept {
  return unix_ms << 16U;
}

/// Whether two incarnations belong to different processes.
constexpr bool is_restart(std::uint64_t before, std::uint64_t after) noexcept {
  return before != 0 && (before >> 16U) != (after >> 16U);
}

struct member_change {
  std::string id;
  member_status from = member_status::alive;
  member_status to = member_status::alive;
  std::uint64_t incarnation = 0;
  bool has_restarted = false; ///< the process is another one than before
};

/// Directions in which messages between this instance and a peer are lost.
enum class path_direction : std::uint8_t { none, to_peer, from_peer };

struct path_fault {
  std::string peer;
  path_direction cut = path_direction::none; ///< none: the direct path works again
};

struct detector_settings {
  std::string self_id;
  std::uint64_t incarnation = 0; ///< see make_incarnation
  base::duration period = base::milliseconds(400);
  base::duration direct_timeout = base::milliseconds(120); ///< above the longest round trip
  std::size_t indirect_peers = 3;
  double suspicion_periods = 4.0; ///< suspicion lasts this many periods for each log10(n)
  std::size_t updates_per_message = 6;
  std::size_t update_capacity = 512;
  base::duration fault_recheck = base::seconds(5); ///< between probes of a faulty path
  flap_settings flapping;
  std::uint64_t seed = 1;
};

struct detector_hooks {
  std::function<void(const member_change&)> on_change;
  std::function<void(const path_fault&)> on_path_fault;
};

struct detector_counters {
  std::uint64_t malformed = 0;
  std::uint64_t unknown_senders = 0;
  std::uint64_t refutations = 0;
};

/// Failure detection in the manner of SWIM. One direct probe per period; on silence, probes
/// through other members; then suspicion, which the suspected member can refute.
class detector {
public:
  detector(detector_settings settings, peer::send_function send, detector_hooks hooks);

  void set_view(const fleet_view& view, base::time_point now);
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Announces that this instance stops as planned. Probes are still answered.
  void leave(base::time_point now);

  /// Status of a member; `failed` for an unknown one.
  member_status status_of(std::string_view id) const noexcept;

  /// Whether most of the latest probes got no answer by any path. An isolated instance declares
  /// no member failed, because the fault is more likely its own.
  bool is_isolated() const noexcept;

  std::uint64_t incarnation() const noexcept { return incarnation_; }
  const detector_counters& counters() const noexcept { return counters_; }

private:
  struct record {
    member_state state = member_state::alive;
    member_status visible = member_status::alive;
    std::uint64_t incarnation = 0;
    base::time_point suspect_since{};
    base::time_point suspect_until{};
    flap_damper damper;
    std::uint32_t last_probe_sequence = 0; ///< of the latest direct probe from this member
    path_direction reported = path_direction::none;
    std::uint8_t rounds_without_direct = 0; ///< consecutive, while held alive
    base::time_point proof_at{};            ///< latest round with an answer by any path
    base::time_point heard_at{};            ///< latest message on the direct path
    base::time_point recheck_at{};
  };
  struct probe_round {
    std::size_t target = 0;
    std::uint32_t sequence = 0;
    base::time_point sent_at{};
    bool is_direct_answered = false;
    bool is_indirect_answered = false;
    bool has_heard_origin = false;
    bool is_indirect_sent = false;
  };
  struct forwarded_probe {
    std::uint32_t sequence = 0;
    std::uint32_t origin_sequence = 0;
    std::string origin;
    std::string target;
    base::time_point sent_at{};
  };

  std::optional<std::size_t> index_of(std::string_view id) const noexcept;
  std::vector<member_update> updates_for(std::string_view to);
  template <class Message>
  void send(std::string_view to, peer::message_kind kind, const Message& message);

  void start_round(base::time_point now);
  void finish_round(base::time_point now);
  void judge_path(std::size_t target);
  void note_missing_direct(std::size_t target, path_direction cut);
  void report_path(std::size_t target, path_direction cut);
  void send_indirect();
  std::optional<std::size_t> next_target(base::time_point now);
  std::optional<std::size_t> next_in_order();
  void note_outcome(bool is_answered);
  void expire_suspicions(base::time_point now);
  void refresh_damped(base::time_point now);

  void receive_probe(std::size_t from, const probe_message& message, base::time_point now);
  void receive_ack(std::size_t from, const probe_ack_message& message, base::time_point now);
  void receive_request(std::size_t from, const probe_request_message& message,
                       base::time_point now);
  void apply_all(const std::vector<member_update>& updates, base::time_point now);
  void apply(const member_update& update, base::time_point now);
  void hear_from(std::size_t member, std::uint64_t incarnation, base::time_point now);
  void set_state(std::size_t member, member_state state, std::uint64_t incarnation,
                 base::time_point now);
  void refresh_visible(std::size_t member, bool has_restarted, base::time_point now);
  void refute(const member_update& update);
  void announce_self();
  void push_news(std::size_t members);
  void inform_suspect(std::size_t member);

  detector_settings settings_;
  peer::send_function send_;
  detector_hooks hooks_;
  detector_counters counters_;
  base::rng rng_;

  fleet_view view_;
  std::vector<record> records_; ///< by index in the view
  std::optional<std::size_t> self_;
  std::uint64_t incarnation_ = 0;
  bool is_leaving_ = false;

  update_queue queue_;
  std::vector<std::uint32_t> order_; ///< shuffled members still to be probed
  std::deque<std::string> rechecks_;
  std::optional<probe_round> round_;
  std::deque<forwarded_probe> forwarded_;
  base::time_point next_round_at_{};
  base::time_point next_push_at_{};
  bool has_urgent_news_ = false;
  bool has_suspects_ = false; ///< false: no record needs to be scanned
  bool has_damped_ = false;
  std::uint32_t sequence_ = 0;
  std::uint64_t rounds_ = 0;
  base::time_point answered_at_{}; ///< end of the latest round with an answer
  std::uint8_t outcomes_ = 0;      ///< bit set: no answer; the latest is the lowest bit
};

} // namespace kingcupshunt::membership
