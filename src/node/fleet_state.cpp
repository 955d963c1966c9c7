#include "fleet_state.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "join_message.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

using peer::message_kind;

constexpr base::milliseconds join_interval{500};
constexpr base::seconds read_timeout{2};
constexpr base::seconds freshness_lifetime{2};
// Owners of rates need a view that is at most 1 s old. Queries every 200 ms cost 4.6 KB/s for each
// of 15 instances, above the limit of 4 KB/s; with 400 ms a view of 64 members is up to 970 ms old.
constexpr base::milliseconds freshness_period{300};
constexpr base::seconds view_change_timeout{5};

membership::fleet_member local_member(const settings::process_settings& s) {
  return {s.id, s.data_centre, s.peer.to_string(), s.entry.to_string(), true};
}

bool has_same_addresses(const membership::fleet_member& a, const membership::fleet_member& b) {
  return a.id == b.id && a.data_centre == b.data_centre && a.peer_address == b.peer_address &&
         a.entry_address == b.entry_address;
}

observed_state observed_of(membership::member_status status) {
  switch (status) {
  case membership::member_status::failed:
  case membership::member_status::damped:
    return observed_state::dead;
  case membership::member_status::left:
    return observed_state::left;
  case membership::member_status::alive:
  case membership::member_status::suspect:
    return observed_state::alive;
  }
  return observed_state::alive;
}

} // namespace

base::result<std::unique_ptr<fleet_state>, std::string>
fleet_state::open(const runtime& rt, fleet_state_hooks hooks, base::time_point now) {
  std::unique_ptr<fleet_state> out(new fleet_state(rt, std::move(hooks)));
  out->make_components(now);
  if (!rt.settings.is_voter()) {
    return out;
  }
  voter_hooks on_voter;
  on_voter.on_delta = [self = out.get()](const state::delta& d) {
    const auto at = base::clock::now();
    self->follower_->apply_local(d, at);
    if (self->voter_ && self->voter_->server().log().is_leader()) {
      self->distribution_->push(d);
    }
  };
  on_voter.on_restored = [self = out.get()] {
    // During construction `voter_` is not set yet; the image is applied below after `voter::open`.
    if (self->voter_) {
      const auto& machine = self->voter_->server().current();
      self->follower_->replace_local(machine.make_image(), base::clock::now());
    }
  };
  on_voter.on_disk_time = out->hooks_.on_disk_time;
  auto opened = voter::open(rt, std::move(on_voter), storage::make_system_files(), now);
  if (!opened) {
    return opened.error();
  }
  out->voter_ = std::move(opened.value());
  const auto& machine = out->voter_->server().current();
  if (machine.revision() > out->follower_->revision()) {
    out->follower_->replace_local(machine.make_image(), now);
  }
  return out;
}

void fleet_state::make_components(base::time_point now) {
  membership::freshness_settings fresh;
  fresh.self_id = rt_.settings.id;
  fresh.incarnation = static_cast<std::uint32_t>(rt_.incarnation);
  fresh.started_at = now;
  fresh.seed = rt_.seed;
  fresh.lifetime = freshness_lifetime;
  fresh.period = freshness_period;
  membership::freshness_hooks on_fresh;
  on_fresh.on_behind = [this](std::string_view peer, std::uint64_t revision) {
    follower_->on_behind(peer, revision, base::clock::now());
  };
  freshness_ = std::make_unique<membership::freshness>(fresh, rt_.send, std::move(on_fresh));

  membership::detector_settings detect;
  detect.self_id = rt_.settings.id;
  detect.incarnation = membership::make_incarnation(rt_.incarnation);
  detect.seed = rt_.seed + 1;
  membership::detector_hooks on_detect;
  on_detect.on_change = [this](const membership::member_change& c) { record_change(c); };
  on_detect.on_path_fault = hooks_.on_path_fault;
  detector_ = std::make_unique<membership::detector>(detect, rt_.send, std::move(on_detect));

  distribution_ = std::make_unique<state::distribution>(
      state::distribution_settings{rt_.settings.id}, rt_.send);
  state::client_settings client;
  for (const auto& it : rt_.settings.voters) {
    client.voters.push_back(it.id);
  }
  client.seed = rt_.seed + 2;
  client_ = std::make_unique<state::client>(std::move(client), rt_.send);
  make_follower();
}

void fleet_state::make_follower() {
  state::follower_hooks hooks;
  hooks.send = rt_.send;
  hooks.on_delta = [this](const state::delta& d) { return apply_delta(d); };
  hooks.on_image = [this](const state::image& i) { return apply_image(i); };
  hooks.make_config = [this] { return config::to_document(*configuration_).dump(); };
  hooks.on_pushed = [this](const std::string& root, const state::delta& d) {
    distribution_->relay(root, d);
  };
  follower_ = std::make_unique<state::follower>(state::follower_settings{}, std::move(hooks));
}

bool fleet_state::apply_delta(const state::delta& d) {
  const auto now = base::clock::now();
  if (!d.config.empty()) {
    const auto delta = nlohmann::json::parse(d.config, nullptr, false);
    if (delta.is_discarded() || !configuration_->apply(delta)) {
      observe::log_error("delta_not_applied", {{"revision", d.revision}});
      return false;
    }
  }
  if (d.view.version != 0) {
    state::apply_view_change(view_, d.view);
    view_revision_ = d.revision;
    apply_view(now);
  }
  freshness_->set_applied(d.revision, now);
  observe::log_info(
      "revision_in_force",
      {{"revision", d.revision}, {"has_config", !d.config.empty()}, {"view", view_.version}});
  if (!d.config.empty()) {
    hooks_.on_configuration(now);
  }
  return true;
}

bool fleet_state::apply_image(const state::image& i) {
  const auto now = base::clock::now();
  const auto document = nlohmann::json::parse(i.config, nullptr, false);
  auto next = std::make_unique<config::snapshot>();
  if (document.is_discarded() || !next->apply(document)) {
    observe::log_error("image_not_applied", {{"revision", i.revision}});
    return false;
  }
  configuration_ = std::move(next);
  view_ = i.view;
  view_revision_ = i.revision;
  apply_view(now);
  freshness_->set_previous_view(i.former_view);
  freshness_->set_applied(i.revision, now);
  observe::log_info("revision_in_force",
                    {{"revision", i.revision}, {"is_image", true}, {"view", view_.version}});
  hooks_.on_configuration(now);
  return true;
}

void fleet_state::apply_view(base::time_point now) {
  freshness_->set_view(view_, now);
  detector_->set_view(view_, now);
  distribution_->set_view(view_, now);
  hooks_.on_view(view_, now);
}

bool fleet_state::is_fresh_within(base::duration age, base::time_point now) const {
  const auto margin = base::shorten_by_drift(freshness_lifetime) - base::shorten_by_drift(age);
  return is_fresh(now) && freshness_->fresh_until() - now >= margin;
}

bool fleet_state::is_view_held(std::uint64_t version) const {
  return view_.version > version ||
         (view_.version == version && freshness_->is_held_by_majority(view_revision_));
}

bool fleet_state::receive(std::string_view from, message_kind kind, std::string_view body,
                          base::time_point now) {
  switch (kind) {
  case message_kind::membership_probe:
  case message_kind::membership_probe_ack:
  case message_kind::membership_probe_request:
    detector_->receive(from, kind, body, now);
    return true;
  case message_kind::freshness_query:
  case message_kind::freshness_answer:
  case message_kind::freshness_aggregate:
    freshness_->receive(from, kind, body, now);
    return true;
  case message_kind::state_fetch_delta:
  case message_kind::state_delta:
    follower_->receive(from, kind, body, now);
    return true;
  case message_kind::state_proposal_answer:
    client_->receive(from, kind, body, now);
    return true;
  case message_kind::log_append:
  case message_kind::log_append_answer:
  case message_kind::log_vote:
  case message_kind::log_vote_answer:
  case message_kind::log_snapshot_chunk:
  case message_kind::log_snapshot_answer:
  case message_kind::log_timeout_now:
  case message_kind::state_propose:
    if (voter_) {
      voter_->server().receive(from, kind, body, now);
    }
    return true;
  case message_kind::membership_join:
    if (auto message = peer::unpack<join_message>(body); message && message->member.id == from) {
      joining_[message->member.id] = message->member;
    }
    return true;
  default:
    return false;
  }
}

void fleet_state::tick(base::time_point now) {
  detector_->tick(now);
  freshness_->tick(now);
  follower_->tick(now);
  client_->tick(now);
  if (voter_) {
    voter_->tick(now);
    plan_view_change(now);
  }
  sync(now);
  send_join(now);
  finish_changes(now);
}

// Runs the first sync of this process: a read index of the leader gives the revision to reach.
void fleet_state::sync(base::time_point now) {
  if (freshness_->is_synced()) {
    return;
  }
  if (follower_->is_synced()) {
    freshness_->set_synced(now);
    observe::log_info("synced", {{"revision", follower_->revision()}});
    return;
  }
  if (is_reading_ || has_target_) {
    return;
  }
  is_reading_ = true;
  client_->read(
      now + read_timeout,
      [this](const state::client_result<state::command_result>& read) {
        is_reading_ = false;
        if (!read) {
          return;
        }
        has_target_ = true;
        follower_->require(read.value().revision);
        if (const auto& leader = client_->leader(); !leader.empty()) {
          follower_->on_behind(leader, read.value().revision, base::clock::now());
        }
      },
      now);
}

void fleet_state::send_join(base::time_point now) {
  if (is_leaving_ || now < next_join_) {
    return;
  }
  next_join_ = now + join_interval;
  const auto self = local_member(rt_.settings);
  const auto* current = view_.find(self.id);
  if (current != nullptr && has_same_addresses(*current, self)) {
    return;
  }
  for (const auto& it : rt_.settings.voters) {
    rt_.send(it.id, message_kind::membership_join, peer::pack(join_message{self}));
  }
}

std::vector<observed_member> fleet_state::observe_members(base::time_point now) const {
  std::vector<observed_member> out;
  for (const auto& member : view_.members) {
    observed_member it{member, observed_of(detector_->status_of(member.id)), now};
    if (member.id == rt_.settings.id) {
      it.state = is_leaving_ ? observed_state::left : observed_state::alive;
    }
    if (const auto joining = joining_.find(member.id); joining != joining_.end()) {
      it.info = joining->second;
    }
    const bool is_suspect = detector_->status_of(member.id) == membership::member_status::suspect;
    if (is_suspect && hooks_.is_unreachable(member.id)) {
      // Indirect probes got no answer either, and connections to the member fail.
      it.state = observed_state::dead;
    }
    const auto changed = changed_at_.find(member.id);
    it.since = changed == changed_at_.end() ? base::time_point{} : changed->second;
    if (changed == changed_at_.end() && it.state != observed_state::alive) {
      it.since = now;
    }
    out.push_back(std::move(it));
  }
  for (const auto& [id, member] : joining_) {
    if (view_.find(id) == nullptr) {
      out.push_back({member, observed_state::alive, now});
    }
  }
  return out;
}

void fleet_state::plan_view_change(base::time_point now) {
  auto& server = voter_->server();
  if (is_changing_view_ || !server.log().is_ready() || detector_->is_isolated()) {
    return;
  }
  const auto& machine = server.current();
  if (machine.view().version != view_.version ||
      (view_.version != 0 && !freshness_->is_view_settled())) {
    return;
  }
  const auto members = plan_view({}, view_, observe_members(now), now);
  joining_.clear();
  if (!members) {
    return;
  }
  state::set_view change;
  change.request_id = base::to_hex(base::random_bytes(16));
  change.base_version = view_.version;
  change.held_version = view_.version;
  change.author = rt_.settings.id;
  change.members = *members;
  is_changing_view_ = true;
  client_->change_view(
      change, now + view_change_timeout,
      [this](const state::client_result<state::command_result>& done) {
        is_changing_view_ = false;
        if (done && done.value().code != state::outcome::accepted) {
          observe::log_warning("view_change_refused",
                               {{"reason", state::message_of(done.value().code)}});
        }
      },
      now);
}

void fleet_state::record_change(const membership::member_change& change) {
  changed_at_[change.id] = base::clock::now();
  rt_.metrics.count("member_changes_total", membership::name_of(change.to));
  rt_.record({"membership.status", "instance", change.id, membership::name_of(change.to),
              std::string("from=") + membership::name_of(change.from) +
                  " has_restarted=" + (change.has_restarted ? "true" : "false"),
              0});
}

void fleet_state::change(const state::change_files& c, base::time_point deadline,
                         std::function<void(const change_outcome&)> done, base::time_point now) {
  const auto on_answer = [this, deadline, done = std::move(done)](
                             const state::client_result<state::command_result>& answer) {
    change_outcome outcome;
    if (!answer) {
      done(outcome);
      return;
    }
    outcome.has_answer = true;
    outcome.result = answer.value();
    if (outcome.result.code != state::outcome::accepted) {
      done(outcome);
      return;
    }
    waiting_.push_back({outcome.result.revision, deadline, outcome, done});
    finish_changes(base::clock::now());
  };
  client_->change(c, deadline, on_answer, now);
}

// Completes the changes that a majority holds or whose deadline has passed.
void fleet_state::finish_changes(base::time_point now) {
  std::vector<waiting_change> ended;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    it->outcome.is_held = freshness_->is_held_by_majority(it->revision);
    if (it->outcome.is_held || now >= it->deadline) {
      ended.push_back(std::move(*it));
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& it : ended) {
    it.done(it.outcome);
  }
}

void fleet_state::leave(base::time_point now) {
  is_leaving_ = true;
  detector_->leave(now);
  if (voter_ && voter_->server().log().is_leader()) {
    voter_->server().log().transfer_leadership(now);
  }
}

} // namespace kingcupshunt::node
