#include "kingcupshunt/balance/path_monitor.h"

namespace kingcupshunt::balance {

namespace {

/// One address may fail alone, with its host.
constexpr std::size_t min_suspect_addresses = 2;
/// Bounds the memory; more addresses than count as evidence tell nothing further.
constexpr std::size_t max_failed_addresses = 16;

} // namespace

const char* to_string(path_state state) noexcept {
  switch (state) {
  case path_state::direct:
    return "direct";
  case path_state::tunnelled:
    return "tunnelled";
  case path_state::none:
    return "none";
  }
  return "none";
}

bool path_monitor::is_suspected(base::time_point now) const {
  std::size_t recent = 0;
  for (const auto& [address, at] : failed_) {
    recent += now - at <= settings_.evidence_lifetime ? 1 : 0;
  }
  return recent >= min_suspect_addresses;
}

std::optional<probe_way> path_monitor::next_probe(base::time_point now) {
  expire(now);
  const bool seems_lost = failed_.size() >= settings_.lost_evidence;
  const bool is_overdue = !failed_.empty() && now - first_failed_at_ >= settings_.test_interval;
  const bool is_wanted = is_cut_off() || seems_lost || is_overdue;
  if (!is_wanted || now < probe_at_) {
    return std::nullopt;
  }
  probe_at_ = now + settings_.test_interval;
  is_confirming_ = seems_lost;
  // Requests use the tunnels in the state `tunnelled`, and in `direct` after a failed connection.
  const bool is_direct = state_ != path_state::none || !has_tunnels_ || !was_last_probe_direct_;
  was_last_probe_direct_ = is_direct;
  return is_direct ? probe_way::direct : probe_way::tunnel;
}

void path_monitor::enter(path_state state) {
  state_ = state;
  evidence_.clear();
  if (state == path_state::none) {
    // The addresses stay known as failed, so that probes go to others.
    failed_tunnels_ = 0;
    is_confirming_ = false;
    has_probe_confirmed_ = false;
  } else {
    clear_failures();
  }
}

void path_monitor::clear_failures() {
  failed_.clear();
  failed_tunnels_ = 0;
  is_confirming_ = false;
  has_probe_confirmed_ = false;
}

void path_monitor::expire(base::time_point now) {
  std::erase_if(failed_,
                [&](const auto& item) { return now - item.second > settings_.evidence_lifetime; });
  has_probe_confirmed_ = has_probe_confirmed_ && !failed_.empty();
  if (now - tunnel_failed_at_ > settings_.evidence_lifetime) {
    failed_tunnels_ = 0;
  }
}

void path_monitor::check_lost(base::time_point now) {
  expire(now);
  const bool have_tunnels_failed =
      !has_tunnels_ || failed_tunnels_ >= settings_.lost_tunnel_evidence;
  if (state_ != path_state::none && has_probe_confirmed_ &&
      failed_.size() >= settings_.lost_evidence && have_tunnels_failed) {
    enter(path_state::none);
    was_last_probe_direct_ = false;
  }
}

void path_monitor::direct_connected(std::string_view server, base::time_point now) {
  clear_failures();
  switch (state_) {
  case path_state::direct:
    evidence_.clear(); // the path to some servers works
    return;
  case path_state::none:
    enter(path_state::direct); // any way is better than none
    return;
  case path_state::tunnelled:
    break;
  }
  evidence_.emplace(server);
  probe_at_ = now; // confirms or refutes it with the next probe
  if (evidence_.size() >= settings_.recovery_evidence) {
    enter(path_state::direct);
  }
}

void path_monitor::direct_failed(std::string_view address, base::time_point now) {
  if (state_ == path_state::tunnelled) {
    evidence_.clear();
  }
  if (failed_.empty()) {
    first_failed_at_ = now;
  }
  if (const auto it = failed_.find(address); it != failed_.end()) {
    it->second = now;
  } else if (failed_.size() < max_failed_addresses) {
    failed_.emplace(address, now);
  }
  check_lost(now);
}

void path_monitor::probe_failed(std::string_view address, base::time_point now) {
  has_probe_confirmed_ = has_probe_confirmed_ || is_confirming_;
  direct_failed(address, now);
}

void path_monitor::only_tunnel_connected(std::string_view server, base::time_point now) {
  clear_failures();
  if (state_ == path_state::tunnelled) {
    return;
  }
  if (state_ == path_state::none) {
    enter(path_state::tunnelled);
    return;
  }
  if (now - evidence_at_ > settings_.evidence_lifetime) {
    evidence_.clear();
  }
  evidence_at_ = now;
  evidence_.emplace(server);
  if (evidence_.size() >= settings_.cut_off_evidence) {
    enter(path_state::tunnelled);
    probe_at_ = now + settings_.test_interval;
  }
}

void path_monitor::tunnel_failed(base::time_point now) {
  if (state_ == path_state::none) {
    return;
  }
  expire(now);
  ++failed_tunnels_;
  tunnel_failed_at_ = now;
  check_lost(now);
}

void path_monitor::answered(base::time_point /*now*/) {
  clear_failures();
  if (state_ == path_state::none) {
    // It may have come through a tunnel; the next probes tell.
    enter(has_tunnels_ ? path_state::tunnelled : path_state::direct);
  }
}

} // namespace kingcupshunt::balance
