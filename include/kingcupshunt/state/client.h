#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/state/messages.h"

namespace kingcupshunt::state {

enum class client_error : std::uint8_t {
  no_answer,  ///< the deadline passed; whether the command took effect is unknown
  overloaded, ///< too many calls are outstanding; nothing was sent
  too_large,  ///< the command does not fit into one message; nothing was sent
};

/// Short fixed text for `error`.
const char* message_of(client_error error) noexcept;

template <class T>
using client_result = base::result<T, client_error>;

struct client_settings {
  std::vector<std::string> voters;
  std::uint64_t seed = 1; ///< from the cryptographic generator: attempts must differ over the fleet
  base::duration resend_interval =
      base::milliseconds(250);                         ///< without an answer, to the next voter
  base::duration retry_delay = base::milliseconds(50); ///< after a voter knew no leader
  /// How long complete and release are resent. A reservation that was not told stays "may have
  /// run", which is safe.
  base::duration closing_time = base::seconds(60);
  std::size_t max_calls = 20000;
};

/// Proposes commands to the leader of the log: finds it, follows redirects, and resends the same
/// command until it is answered or its deadline passes. The state machine recognizes resends.
class client {
public:
  using done_function = std::function<void(client_result<command_result>)>;

  client(client_settings settings, peer::send_function send);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Called exactly once each: `done` with the state machine's answer, or an error.
  void change(const change_files& c, base::time_point deadline, done_function done,
              base::time_point now);
  void change_view(const set_view& c, base::time_point deadline, done_function done,
                   base::time_point now);
  /// Revision that the leader had in force at a read index after this call, in result.revision.
  void read(base::time_point deadline, done_function done, base::time_point now);

  /// Reserves an idempotency key. Returns the id of the attempt. After an error or `cancel` this
  /// attempt is never granted: the reservation is released, also when a grant arrives later.
  std::uint64_t reserve_key(std::string_view workspace, std::string_view key,
                            std::uint64_t fingerprint, base::time_point deadline,
                            done_function done, base::time_point now);
  /// Gives an attempt up. `done` is not called after this; a granted attempt is released, which
  /// is allowed only while its request has certainly not run.
  void cancel(std::uint64_t attempt, base::time_point now);
  /// The granted request ran; keeps its answer for resends.
  void complete_key(std::uint64_t attempt, std::optional<kept_answer> answer, base::time_point now);
  /// The granted request certainly did not run.
  void release_key(std::uint64_t attempt, base::time_point now) { cancel(attempt, now); }
  /// The granted request may have run: the key keeps answering so. Forgets the attempt.
  void abandon_key(std::uint64_t attempt) { attempts_.erase(attempt); }

  const std::string& leader() const noexcept { return leader_; }
  std::size_t outstanding() const noexcept { return calls_.size(); }
  std::uint64_t malformed_messages() const noexcept { return malformed_; }

private:
  struct call {
    propose_message message;
    base::time_point deadline;
    base::time_point resend_at;
    std::string sent_to;
    done_function done;
  };
  struct attempt_state {
    std::string workspace;
    std::string key;
    std::uint64_t call_id = 0;
  };

  std::uint64_t start(command_kind kind, std::string body, bool is_read, base::time_point deadline,
                      done_function done, base::time_point now);
  /// Starts a complete or release, which is resent for closing_time.
  void close(command_kind kind, std::string body, base::time_point now);
  bool has_room(bool is_closing) const noexcept;
  void send_call(call& c, base::time_point now);
  void on_answer(std::string_view from, const proposal_answer& m, base::time_point now);
  void on_reserve_answer(std::uint64_t attempt, const done_function& done,
                         client_result<command_result> result, base::time_point now);
  std::string next_voter(const std::string& after);

  client_settings settings_;
  peer::send_function send_;
  base::rng rng_;
  base::time_point now_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, call> calls_;
  std::map<std::uint64_t, attempt_state> attempts_;
  std::string leader_;
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::state
