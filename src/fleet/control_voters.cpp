#include <algorithm>

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

constexpr base::milliseconds join_interval{500};  // between two join requests
constexpr base::seconds join_request_lifetime{2}; // a join request is valid this long
constexpr std::size_t min_voters = 3;             // no voter is removed at or below this number

} // namespace

/// An instance without a leader requests to join: a new instance, one that was removed while it was
/// unreachable, and one that knows only former voters.
void control_core::maintain_voters(base::time_point now) {
  auto& replica = log_->log();
  for (const auto& v : replica.voters().voters) {
    add_control(v.id);
  }
  for (const auto& id : replica.voters().joining) {
    add_control(id);
  }
  if (replica.hears_leader(now)) {
    majority_contact_at_ = now;
    asked_to_join_ = 0;
  } else if (now >= join_at_) {
    join_at_ = now + join_interval;
    ask_to_join();
  }
  std::erase_if(join_requests_,
                [&](const auto& j) { return now - j.second > join_request_lifetime; });
  if (!replica.may_change_voters_now()) {
    return;
  }
  for (const auto& [id, at] : join_requests_) {
    const auto& voters = replica.voters();
    const bool is_known =
        voters.find(id) != nullptr || std::ranges::find(voters.joining, id) != voters.joining.end();
    if (!is_known && replica.add_voter(id, now)) {
      log("control_joins", id);
      return;
    }
  }
  remove_lost_voter(now);
}

void control_core::ask_to_join() {
  if (asked_to_join_ != controls_.size()) {
    asked_to_join_ = controls_.size();
    std::string asked;
    for (const auto& id : controls_) {
      asked += (asked.empty() ? "" : ",") + id;
    }
    log("control_join_sent", "to=" + asked);
  }
  const auto body = peer::pack(control_join{settings_.store});
  for (const auto& id : controls_) {
    hooks_.send(id, message_kind::control_join, body);
  }
}

/// Only the leader adds voters, and the settings of an instance need not name it. The answer names
/// the voters, so that the next requests reach the leader wherever it is.
void control_core::on_join(std::string_view from, const control_join& join, base::time_point now) {
  add_control(from);
  if (join_requests_.find(from) == join_requests_.end()) {
    const auto& leader = log_->log().leader();
    log("control_asks_to_join", std::string(from) + " store=" + join.store +
                                    " leader=" + (leader.empty() ? "unknown" : leader));
  }
  join_requests_.insert_or_assign(std::string(from), now);
  control_join_answer answer;
  for (const auto& v : log_->log().voters().voters) {
    answer.voters.push_back(v.id);
  }
  const auto& joining = log_->log().voters().joining;
  answer.voters.insert(answer.voters.end(), joining.begin(), joining.end());
  hooks_.send(from, message_kind::control_join_answer, peer::pack(answer));
}

void control_core::on_join_answer(const control_join_answer& answer) {
  for (const auto& id : answer.voters) {
    add_control(id);
  }
}

/// An even number of voters tolerates no more failures than the odd number below it. A lost voter
/// is therefore removed soon from an even number, and from an odd number only after a time that
/// repairs rarely exceed.
void control_core::remove_lost_voter(base::time_point now) {
  auto& replica = log_->log();
  const auto& voters = replica.voters();
  const auto limit =
      voters.voters.size() % 2 == 0 ? settings_.voter_timeout_even : settings_.voter_timeout_odd;
  if (voters.voters.size() <= min_voters) {
    return;
  }
  for (const auto& v : voters.voters) {
    const auto received_at = replica.last_heard(v.id);
    if (received_at && now - *received_at > limit) {
      log("control_removed", v.id);
      (void)replica.remove_voter(v.id, now); // retried with the next slow tick
      return;
    }
  }
  for (const auto& id : voters.joining) {
    const auto received_at = replica.last_heard(id);
    if (received_at && now - *received_at > limit) {
      log("control_join_given_up", id);
      (void)replica.remove_voter(id, now);
      return;
    }
  }
}

} // namespace kingcupshunt::fleet
