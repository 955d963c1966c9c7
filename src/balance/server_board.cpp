#include "kingcupshunt/balance/server_board.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshunt::balance {

using health::attempt_end;

namespace {

/// Bounds of a server's response time relative to its service's mean, which limit the effect of a
/// single unusual answer.
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 12.0;
/// Time constant with which a server's relative response time returns to 1 while it sends no
/// answers.
constexpr base::seconds slowness_time_constant{6};
constexpr std::uint32_t wrong_instance_status = 421;
constexpr double service_gain = 0.02; ///< weight of a new answer in a service's mean response time

std::optional<fleet::failure_kind> kind_of(attempt_end end) noexcept {
  switch (end) {
  case attempt_end::connect_failed:
  case attempt_end::closed_unanswered:
  case attempt_end::truncated:
  case attempt_end::malformed:
  case attempt_end::stale_connection:
    return fleet::failure_kind::reset;
  case attempt_end::error_status:
    return fleet::failure_kind::error;
  case attempt_end::timed_out:
    return fleet::failure_kind::late;
  default:
    return std::nullopt;
  }
}

} // namespace

server_board::server_board(board_settings settings, board_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), rng_(settings_.seed) {}

void server_board::set_record(const fleet::server_record& record, base::time_point now) {
  auto& s = servers_[record.id];
  const bool is_new = s.record.id.empty() || s.record.started_ms != record.started_ms;
  if (!s.record.service.empty() && s.record.service != record.service) {
    std::erase(services_[s.record.service].servers, &s);
  }
  const bool is_gone = record.state == fleet::server_state::gone;
  auto former = std::move(s.record.data_centre);
  s.record = record;
  if (is_gone && record.data_centre.empty()) {
    // A farewell may lack it; requests chosen before must still not be sent.
    s.record.data_centre = std::move(former);
  }
  s.is_evacuated = evacuations_.contains(s.record.data_centre);
  if (is_new) {
    s.was_used = false;
    delay_due(s, now);
  }
  s.usable_until = record.is_restored ? now + settings_.restored_lifetime : base::time_point::max();
  if ((is_new || is_gone) && set_limit(s, std::nullopt)) {
    limits_.push_back({s.record.id, false, 0, s.record.data_centre});
  }
  if (is_new) {
    s.permits = {};
    s.pause = {};
    s.estimator = {};
    s.history = {};
    s.mean_seconds = 0;
    s.cold_until = now + base::milliseconds(record.cold_left_ms);
  }
  extend_cold(s, base::milliseconds(is_gone ? 0 : record.cold_left_ms), true, now);
  auto& all = services_[record.service].servers;
  if (is_gone) {
    std::erase(all, &s);
    if (s.own_requests.empty()) {
      servers_.erase(record.id);
    }
  } else if (std::ranges::find(all, &s) == all.end()) {
    all.push_back(&s);
  }
}

bool server_board::is_usable(const server& s, base::time_point now) noexcept {
  return s.record.state == fleet::server_state::ready && now < s.usable_until && !is_leaving(s) &&
         !s.is_evacuated;
}

std::uint32_t server_board::others_in_flight(const server& s, base::time_point now) noexcept {
  return now < s.others_until ? s.others_in_flight : 0;
}

std::uint32_t server_board::in_flight(const server& s, base::time_point now) noexcept {
  const auto others = others_in_flight(s, now);
  return static_cast<std::uint32_t>(s.own_requests.size()) +
         (now < s.full_until ? std::max(others, s.record.slots) : others);
}

void server_board::decay(episode_record& r, base::duration time_constant, base::time_point now) {
  if (now <= r.at) {
    return;
  }
  const double factor = std::exp(-base::to_seconds(now - r.at) / base::to_seconds(time_constant));
  r.episodes *= factor;
  r.successes *= factor;
  r.at = now;
}

void server_board::add_failure(server& s, const fleet::failure_note& note, double exponent,
                               base::time_point now) {
  if (const auto of = services_.find(s.record.service); of != services_.end()) {
    decay_counts(of->second.count, now);
    of->second.count.lost += note.is_lost ? 1 : 0;
  }
  s.failed_at = now;
  const bool was_likely_faulty = is_likely_faulty(s, now);
  s.estimator.update(std::pow(likelihood_ratio_of(note.kind), exponent), settings_.episodes, now);
  if (note.kind == fleet::failure_kind::reset && !was_likely_faulty && is_likely_faulty(s, now)) {
    decay(s.history, settings_.history_time_constant, now);
    s.history.episodes += 1;
  }
}

bool server_board::is_likely_faulty(const server& s, base::time_point now) const {
  return s.estimator.episode_probability(settings_.episodes, now) >
         settings_.likely_faulty_threshold;
}

double server_board::failure_chance(const server& s, base::time_point now) const {
  const double chance = s.estimator.failure_probability(settings_.episodes, now);
  return s.record.is_silent ? std::max(chance, settings_.silent_risk) : chance;
}

double server_board::slowness(const server& s, const service_state& of,
                              base::time_point now) const {
  double out = 1;
  if (s.mean_seconds > 0 && of.mean_seconds > 0) {
    out = std::clamp(s.mean_seconds / of.mean_seconds, min_slowness, max_slowness);
    const double age =
        base::to_seconds(now - s.answered_at) / base::to_seconds(slowness_time_constant);
    out = 1 + (out - 1) * std::exp(-age);
  } else if (now < s.cold_until) {
    out = settings_.cold_factor;
  }
  return out;
}

double server_board::cost(const server& s, const service_state& of, bool is_repeatable,
                          base::time_point now) const {
  const double load = (in_flight(s, now) + 1.0) / std::max<std::uint32_t>(s.record.slots, 1);
  const double risk = is_repeatable ? settings_.repeatable_risk : settings_.unrepeatable_risk;
  // Some servers have short fault episodes again and again. The first request in such an episode
  // should be a repeatable one.
  double episode_risk = 0;
  if (!is_repeatable && s.history.episodes > 0) {
    auto h = s.history;
    decay(h, settings_.history_time_constant, now);
    episode_risk = h.episodes / (h.episodes + h.successes + settings_.history_prior);
  }
  const double remote_cost =
      is_relay_local_ ? settings_.remote_cost_unknown_load : settings_.remote_cost;
  const double distance = s.record.data_centre == settings_.data_centre ? 0 : remote_cost;
  return load * slowness(s, of, now) + risk * (failure_chance(s, now) + episode_risk) + distance;
}

void server_board::note_use(server& s, base::time_point now) {
  s.was_used = true;
  delay_due(s, now);
}

void server_board::delay_due(server& s, base::time_point now) {
  const auto spread = base::to_seconds(settings_.max_idle - settings_.min_idle);
  s.due_at = now + settings_.min_idle + base::from_seconds(spread * rng_.unit());
}

void server_board::decay_counts(request_count& c, base::time_point now) const {
  if (now <= c.at) {
    return;
  }
  const double factor = std::exp(-base::to_seconds(now - c.at) /
                                 base::to_seconds(settings_.failure_share_time_constant));
  c.lost *= factor;
  c.served *= factor;
  c.refused *= factor;
  c.at = now;
}

/// Lost requests are known from all instances, answers and refusals only from this one. Failed
/// trial requests are not counted as lost, because they are repeated.
bool server_board::is_stable(request_count c, base::time_point now) const {
  decay_counts(c, now);
  const double refused = c.refused / std::max(1.0, c.refused + c.served);
  return c.lost <= settings_.max_stable_failure_share * (c.lost + c.served * instances_) &&
         refused <= settings_.max_stable_failure_share;
}

base::result<fleet::server_record, board_error>
server_board::begin(const board_request& request, std::span<const std::string> tried,
                    base::time_point now) {
  const auto of = services_.find(request.service);
  if (of == services_.end() || of->second.servers.empty()) {
    return board_error::unknown_service;
  }
  if (request.is_streamed && !may_stream(of->second, now)) {
    return board_error::all_streaming;
  }
  bool is_busy = false;
  auto* chosen = tried.empty() ? find_permitted_cold(of->second, request, now) : nullptr;
  if (chosen == nullptr && tried.empty()) {
    chosen = find_due(of->second, request, now);
  }
  if (chosen == nullptr) {
    chosen = find_cheapest(of->second, request, tried, now, is_busy);
  }
  if (chosen == nullptr && is_evacuated(request.service, now)) {
    return board_error::all_evacuated;
  }
  if (chosen == nullptr && tried.empty() && is_left(request.service, now)) {
    return board_error::unknown_service;
  }
  if (chosen == nullptr && !is_busy && pause_end(request.service, now)) {
    return board_error::all_paused;
  }
  if (chosen == nullptr) {
    return is_busy ? board_error::all_busy : board_error::all_tried;
  }
  running run;
  run.since = now;
  run.is_repeatable = request.is_repeatable;
  run.is_arriving = request.is_streamed;
  run.was_streamed = request.is_streamed;
  run.started_ms = chosen->record.started_ms;
  chosen->own_requests[request.serial] = run;
  chosen->permits.take(now);
  take_cold(*chosen, now);
  note_use(*chosen, now);
  return chosen->record;
}

double server_board::likelihood_ratio_of(fleet::failure_kind kind) const noexcept {
  switch (kind) {
  case fleet::failure_kind::reset:
    return settings_.episodes.reset_likelihood_ratio;
  case fleet::failure_kind::error:
    return settings_.episodes.error_likelihood_ratio;
  case fleet::failure_kind::late:
    return settings_.episodes.late_likelihood_ratio;
  }
  return settings_.episodes.reset_likelihood_ratio;
}

void server_board::note_failure(server& s, fleet::failure_note note, base::time_point now) {
  note.server = s.record.id;
  add_failure(s, note, 1, now);
  failures_.push_back(std::move(note));
}

void server_board::end(std::string_view id, std::uint64_t request, const health::attempt& a,
                       base::time_point now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  auto& s = it->second;
  if (a.is_leaving) {
    note_leaving(id, request);
  }
  const auto run = s.own_requests.find(request);
  const bool was_late = run != s.own_requests.end() && run->second.is_late;
  const bool is_lost = run == s.own_requests.end() || !run->second.is_repeatable;
  const bool is_excused = run != s.own_requests.end() && run->second.is_excused;
  const bool is_former =
      run != s.own_requests.end() && run->second.started_ms != s.record.started_ms;
  auto response_time = a.total;
  if (run != s.own_requests.end() && run->second.was_streamed) {
    response_time = now - run->second.since;
  } else if (run != s.own_requests.end() && run->second.is_relayed) {
    response_time = a.first_byte;
  }
  if (run != s.own_requests.end()) {
    note_pause(s, run->second, a, now);
    note_cold_answer(s, run->second, a, now);
    s.own_requests.erase(run);
  }
  if (s.record.state == fleet::server_state::gone) {
    if (s.own_requests.empty()) {
      servers_.erase(it);
    }
    return;
  }
  note_limit(s, a);
  if (is_excused && kind_of(a.end)) {
    return;
  }
  if (const auto kind = kind_of(a.end)) {
    const bool is_known = was_late && *kind == fleet::failure_kind::late;
    if (!is_known || is_lost) {
      note_failure(s, {"", *kind, a.fingerprint, "", is_lost}, now);
    }
    return;
  }
  if (a.end == attempt_end::shed && is_former) {
    return; // another incarnation refused
  }
  if (a.end == attempt_end::shed && a.status == wrong_instance_status) {
    // Another server uses this address now, so this one has stopped.
    s.record.state = fleet::server_state::gone;
    std::erase(services_[s.record.service].servers, &s);
    return;
  }
  if (a.end == attempt_end::shed && a.pause > base::duration{}) {
    return; // the pause says more than a count of slots
  }
  if (a.end == attempt_end::shed) {
    // The server has fewer free slots than known here. The next load report that names it corrects
    // this, but none does unless the load of the server as its relay knows it changes.
    s.full_until = now + settings_.refusal_hold;
    return;
  }
  if (a.end != attempt_end::ok) {
    return;
  }
  decay(s.history, settings_.history_time_constant, now);
  s.history.successes += 1;
  const bool was_likely_faulty = is_likely_faulty(s, now);
  s.estimator.update(settings_.episodes.success_likelihood_ratio, settings_.episodes, now);
  if (was_likely_faulty) {
    s.due_at = now + settings_.confirm_idle;
  }
  const double seconds = base::to_seconds(response_time);
  auto& of = services_[s.record.service];
  decay_counts(of.count, now);
  of.count.served += 1;
  s.mean_seconds = s.mean_seconds == 0
                       ? seconds
                       : s.mean_seconds + settings_.latency_gain * (seconds - s.mean_seconds);
  s.answered_at = now;
  of.mean_seconds =
      of.mean_seconds == 0 ? seconds : of.mean_seconds + service_gain * (seconds - of.mean_seconds);
}

/// Includes the slots of suspected faulty servers only when the other servers have too few.
server_board::slot_counts server_board::count_slots(std::string_view service,
                                                    base::time_point now) const {
  slot_counts healthy;
  slot_counts likely_faulty;
  const auto of = services_.find(service);
  if (of == services_.end()) {
    return healthy;
  }
  for (const auto* s : of->second.servers) {
    if (!is_usable(*s, now) || s->pause.holds(now)) {
      continue;
    }
    auto& r = is_likely_faulty(*s, now) ? likely_faulty : healthy;
    const auto busy = in_flight(*s, now);
    r.slots += s->record.slots;
    const auto free = busy < s->record.slots ? s->record.slots - busy : 0;
    r.free +=
        std::min({free, s->permits.available(now), unpaused_starts(*s, now), cold_starts(*s, now)});
    if (of->second.mean_seconds > 0) {
      const double rate = s->record.slots / of->second.mean_seconds;
      const double cold_rate = is_cold_limited(*s, now) ? *s->cold.permits.limit() : rate;
      r.starts_per_second += std::min({rate, s->permits.limit().value_or(rate), cold_rate});
    }
  }
  if (healthy.slots < settings_.min_healthy_share * (healthy.slots + likely_faulty.slots)) {
    healthy.slots += likely_faulty.slots;
    healthy.free += likely_faulty.free;
    healthy.starts_per_second += likely_faulty.starts_per_second;
  }
  return healthy;
}

std::uint32_t server_board::free_slots(std::string_view service, base::time_point now) const {
  return count_slots(service, now).free;
}

double server_board::starts_per_second(std::string_view service, base::time_point now) const {
  return count_slots(service, now).starts_per_second;
}

std::optional<base::duration> server_board::mean_response_time(std::string_view service) const {
  const auto of = services_.find(service);
  if (of == services_.end() || of->second.mean_seconds == 0) {
    return std::nullopt;
  }
  return base::from_seconds(of->second.mean_seconds);
}

void server_board::note_refused(std::string_view service, base::time_point now) {
  const auto of = services_.find(service);
  if (of != services_.end()) {
    decay_counts(of->second.count, now);
    of->second.count.refused += 1;
  }
}

std::string server_board::address_of(std::string_view id) const {
  const auto it = servers_.find(id);
  const bool is_known = it != servers_.end() &&
                        it->second.record.state != fleet::server_state::gone &&
                        !is_leaving(it->second) && !it->second.is_evacuated;
  return is_known ? it->second.record.address : std::string();
}

std::uint32_t server_board::arriving_at(const server& s) noexcept {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      s.own_requests, [](const auto& item) { return item.second.is_arriving; }));
}

bool server_board::may_stream_to(const server& s) const noexcept {
  const auto share = static_cast<std::uint32_t>(s.record.slots * settings_.streamed_share);
  return arriving_at(s) < std::clamp(share, 1U, settings_.max_streamed_per_server);
}

bool server_board::may_stream(const service_state& of, base::time_point now) const noexcept {
  std::uint32_t slots = 0;
  std::uint32_t arriving = 0;
  for (const auto* s : of.servers) {
    slots += is_usable(*s, now) ? s->record.slots : 0;
    arriving += arriving_at(*s);
  }
  return arriving < std::max(1.0, slots * settings_.streamed_share);
}

server_board::running* server_board::find_running(std::string_view id, std::uint64_t request) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return nullptr;
  }
  const auto run = it->second.own_requests.find(request);
  return run == it->second.own_requests.end() ? nullptr : &run->second;
}

void server_board::note_body_sent(std::string_view id, std::uint64_t request,
                                  base::time_point now) {
  if (auto* run = find_running(id, request)) {
    run->is_arriving = false;
    run->since = now;
  }
}

void server_board::note_answer_relayed(std::string_view id, std::uint64_t request) {
  if (auto* run = find_running(id, request)) {
    run->is_relayed = true;
  }
}

void server_board::excuse_running() {
  for (auto& [id, s] : servers_) {
    for (auto& [request, run] : s.own_requests) {
      run.is_excused = true;
    }
  }
}

void server_board::tick(base::time_point now) {
  for (auto& [id, s] : servers_) {
    update_cold(s, now);
    const auto of = services_.find(s.record.service);
    if (s.own_requests.empty() || of == services_.end() || of->second.mean_seconds == 0) {
      continue;
    }
    const auto usual = base::from_seconds(of->second.mean_seconds * settings_.late_factor);
    const auto limit = std::max(usual, settings_.min_late_threshold);
    for (auto& [request, run] : s.own_requests) {
      const bool is_callers_time = run.is_arriving || run.is_relayed;
      if (!run.is_late && !run.is_excused && !is_callers_time && now - run.since > limit) {
        run.is_late = true;
        // The request may still be answered, so it does not count as lost.
        note_failure(s, {"", fleet::failure_kind::late, 0, "", false}, now);
      }
    }
  }
}

} // namespace kingcupshunt::balance
