#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/state/delta_ring.h"
#include "kingcupshunt/state/messages.h"

namespace kingcupshunt::state {

struct follower_settings {
  std::size_t max_deltas = 4000; ///< kept for instances that are behind
  std::size_t max_delta_bytes = 8U << 20U;
  std::size_t max_early = 64; ///< pushed deltas kept while one before them is missing
  std::size_t answer_bytes = 512U << 10U;
  std::size_t max_image_bytes = 512U << 20U;
  base::duration fetch_timeout = base::milliseconds(300);
  base::duration image_kept = base::seconds(10); ///< after the last chunk that was asked for
};

struct follower_hooks {
  peer::send_function send;
  /// Puts one revision into force. False: it does not apply here; the whole state is fetched.
  std::function<bool(const delta&)> on_delta;
  /// Puts a whole state into force. False: not readable; another peer is asked.
  std::function<bool(const image&)> on_image;
  /// The merged configuration in force here as JSON, for instances that are far behind.
  std::function<std::string()> make_config;
  /// A pushed delta was new here: passes it on along the tree. May be empty.
  std::function<void(const std::string& root, const delta&)> on_pushed;
};

/// Holds the revision in force on one instance, and never goes back to an older one.
class follower {
public:
  follower(follower_settings settings, follower_hooks hooks);

  /// Takes state_fetch_delta and state_delta.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// `peer` reported a revision. Pulls from it what is missing here.
  void on_behind(std::string_view peer, std::uint64_t revision, base::time_point now);

  /// This instance is synced once it has reached `revision`: the leader's at a read index, or the
  /// greatest that a majority of synced instances reported. Counts only the first call.
  void require(std::uint64_t revision) noexcept;

  /// On a voter: the state machine of this instance reached a revision, or was replaced.
  void apply_local(const delta& d, base::time_point now);
  void replace_local(const image& i, base::time_point now);

  std::uint64_t revision() const noexcept { return revision_; }
  const membership::fleet_view& view() const noexcept { return view_; }
  bool is_synced() const noexcept { return has_target_ && revision_ >= target_; }
  std::uint64_t malformed_messages() const noexcept { return malformed_; }
  std::uint64_t images_taken() const noexcept { return images_taken_; }

private:
  void on_fetch(std::string_view from, const fetch_message& m, base::time_point now);
  void on_deltas(std::string_view from, delta_message m, base::time_point now);
  void on_chunk(std::string_view from, const delta_message& m, base::time_point now);
  void take(delta d, const std::string& root);
  bool put_in_force(const delta& d);
  void take_early();
  bool take_image(const image& i);
  void fetch(base::time_point now);
  void ask(const std::string& peer, base::time_point now);
  bool can_serve_image(const fetch_message& m) const noexcept;
  std::string next_source();

  follower_settings settings_;
  follower_hooks hooks_;
  delta_ring ring_;
  std::uint64_t revision_ = 0;
  membership::fleet_view view_;
  membership::fleet_view former_view_;
  std::uint64_t target_ = 0;
  bool has_target_ = false;
  std::map<std::uint64_t, delta> early_;

  std::map<std::string, std::uint64_t> sources_; ///< peer to the revision that it reported
  std::string source_;                           ///< asked last
  std::uint64_t call_id_ = 0;                    ///< outstanding fetch; 0: none
  std::uint64_t next_call_ = 1;
  base::time_point asked_at_;
  bool wants_image_ = false; ///< a delta did not apply here
  std::uint64_t incoming_revision_ = 0;
  std::string incoming_;

  std::shared_ptr<const std::string> image_; ///< packed, for others
  std::uint64_t image_revision_ = 0;
  base::time_point image_asked_at_;
  std::uint64_t images_taken_ = 0;
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::state
