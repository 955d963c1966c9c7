#include "entry_traffic.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/config/route_parts.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/settings/process_settings.h"
#include "request_facts.h"

namespace kingcupshunt::node {

using peer::message_kind;
using proxy::refusal;

namespace {

constexpr base::seconds full_report_interval{1}; // relays drop an entry after 2.5 s
/// A repeatable request is hedged after this multiple of the typical request time.
constexpr double hedge_factor = 2.5;
constexpr base::milliseconds min_hedge_delay{150};
/// Until the next answers of the control instances.
constexpr base::milliseconds no_server_retry_after{500};
/// From process start until it serves, when all instances start at once.
constexpr base::milliseconds typical_start_time{700};
constexpr base::milliseconds min_start_retry_after{250};
constexpr base::seconds suspect_retry_after{30};

balance::board_settings board_settings_of(const role_runtime& runtime) {
  balance::board_settings out;
  out.data_centre = runtime.settings.data_centre;
  out.seed = runtime.seed;
  out.cold_bound = runtime.settings.bounds.cold;
  out.has_expected_load = runtime.settings.has_expected_load;
  return out;
}

std::string text_of(const std::optional<double>& limit) {
  return limit ? std::to_string(*limit) : "none";
}

rates::client_settings rate_settings_of(const role_runtime& runtime) {
  rates::client_settings out;
  out.incarnation = runtime.seed;
  out.max_wait = base::milliseconds(60);
  return out;
}

rates::client_hooks rate_hooks_of(role_runtime& runtime) {
  rates::client_hooks out;
  out.send = [&runtime](std::string_view to, message_kind kind, std::string body) {
    runtime.send(to, kind, std::move(body));
  };
  return out;
}

admission::window_budget_settings retry_settings_of(const settings::role_bounds& b) {
  admission::window_budget_settings out;
  out.share = b.retry_share;
  out.window = b.retry_window;
  out.slack = b.retry_slack;
  return out;
}

} // namespace

entry_traffic::entry_traffic(role_runtime& runtime, fleet::entry_link& link,
                             std::function<void()> on_path_change)
    : runtime_(runtime), link_(link), board_(board_settings_of(runtime), make_board_hooks()),
      rates_(rate_settings_of(runtime), rate_hooks_of(runtime)),
      retries_(retry_settings_of(runtime.settings.bounds)),
      on_path_change_(std::move(on_path_change)), rng_(runtime.seed + 1) {}

proxy::hooks entry_traffic::make_hooks() {
  proxy::hooks out;
  out.wait_until_ready = [this](std::function<void(proxy::decided<void>)> done) {
    start_gate_.enter([done = std::move(done)] { done(base::success()); }, base::clock::now());
  };
  out.authorize = [this](const proxy::request_head& head) { return authorize(head); };
  out.admit = [this](const proxy::request_head&, const proxy::authorized_request& request,
                     std::function<void(proxy::decided<void>)> done) {
    admit(request, std::move(done));
  };
  out.on_refusal = [this](const proxy::request_head& head, const refusal& r,
                          const std::vector<std::string>& tried) {
    record_refusal(head, r, tried);
  };
  out.finish = [](const proxy::authorized_request&) {};
  out.pick = [this](const proxy::authorized_request& request, std::uint64_t fingerprint,
                    const std::vector<std::string>& tried) {
    return pick(request, fingerprint, tried);
  };
  out.may_send = [this](const std::string& server, bool is_open_route) {
    return may_send(server, is_open_route);
  };
  out.plan_connection = [this](const std::string&) { return plan_connection(); };
  out.note_direct_failure = [this](const std::string& server) {
    return note_direct_failure(server);
  };
  out.note_connection = [this](const proxy::connection_outcome& o) { note_connection(o); };
  out.note_body_sent = [this](const proxy::authorized_request& request, const std::string& server) {
    board_.note_body_sent(server, request.serial, base::clock::now());
  };
  out.note_answer_relayed = [this](const proxy::authorized_request& request,
                                   const std::string& server) {
    board_.note_answer_relayed(server, request.serial);
  };
  out.report = [this](const proxy::authorized_request& request, const health::attempt& a) {
    report(request, a);
  };
  out.note_leaving = [this](const proxy::authorized_request& request, const std::string& server) {
    board_.note_leaving(server, request.serial);
  };
  out.may_retry = [this](const proxy::authorized_request& request, const health::attempt& last) {
    return may_retry(request, last);
  };
  out.hedge_delay = [this](const proxy::authorized_request& request) {
    return hedge_delay(request);
  };
  out.take_hedge = [this](const proxy::authorized_request& request) {
    return board_.free_slots(request.service->name, base::clock::now()) > 0 &&
           retries_.withdraw(request.service->name, link_.entry_count(), base::clock::now());
  };
  return out;
}

balance::board_hooks entry_traffic::make_board_hooks() {
  balance::board_hooks out;
  out.on_limit = [this](const balance::limit_change& change) {
    runtime_.metrics.count("server_limit_changes_total", change.after ? "limited" : "ended");
    if (may_log(base::clock::now())) {
      observe::log_info("server_limit", {{"server", change.server},
                                         {"per_second", text_of(change.after)},
                                         {"before", text_of(change.before)},
                                         {"sent_here", change.sent}});
    }
  };
  out.on_leaving = [this](const balance::leaving_notice& notice) { log_leaving(notice); };
  out.on_pause = [this](const balance::pause_change& change) { note_pause(change); };
  out.on_cold = [this](const balance::cold_change& change) { note_cold(change); };
  return out;
}

const config::route_part* entry_traffic::choose_part(const config::route& route) {
  auto it = parts_.find(route.name);
  if (it == parts_.end()) {
    it = parts_.emplace(route.name, part_counter{0, rng_.unit()}).first;
  }
  // Multiples of the golden ratio modulo 1 are evenly distributed, so that short sequences of
  // requests match the weights closely too.
  const double at =
      std::fmod(static_cast<double>(++it->second.n) / std::numbers::phi + it->second.offset, 1.0);
  return config::part_at(route, at);
}

proxy::decided<proxy::authorized_request>
entry_traffic::authorize(const proxy::request_head& head) {
  const auto now = base::clock::now();
  if (!link_.has_document()) {
    const auto remaining =
        std::chrono::duration_cast<base::milliseconds>(typical_start_time - start_gate_.age(now));
    return not_run(503, "no_configuration", "no configuration has been received yet",
                   std::max(remaining, min_start_retry_after));
  }
  const auto& configuration = link_.configuration();
  proxy::authorized_request out;
  out.route = configuration.find_route(head.host, head.method, head.path);
  // Without a lease, a newer configuration may allow a request that this one denies.
  const bool is_denied_here = !out.route || !out.route->is_open;
  if (auto refused = refusal_of_age(is_denied_here, now)) {
    return std::move(*refused);
  }
  const auto limits = configuration.entry_limits();
  if (limits && head.content_length.value_or(0) > limits->body_bytes) {
    return not_run(413, "body_too_large", "the body is larger than the configuration allows");
  }
  if (!out.route) {
    return not_run(404, "no_route", "no route matches this request");
  }
  const auto* part = out.route->parts.empty() ? nullptr : choose_part(*out.route);
  out.service = configuration.find_service(part != nullptr ? part->service : out.route->service);
  if (!out.service) {
    return not_run(503, "no_service", "the service of the route does not exist");
  }
  out.serial = ++serial_;
  const auto timeout = out.route->timeout.count() > 0 ? out.route->timeout : out.service->timeout;
  out.deadline = head.arrival_time + timeout;
  if (head.caller_timeout) {
    out.deadline = std::min(out.deadline, head.arrival_time + *head.caller_timeout);
  }
  if (out.route->is_open) {
    return out;
  }
  if (!head.bearer_key) {
    return not_run(401, "key_missing", "this route requires a key");
  }
  const auto key = configuration.find_key(base::sha256(*head.bearer_key));
  if (!key || key->is_withdrawn) {
    return not_run(401, key ? "key_withdrawn" : "key_unknown", "the key is not accepted");
  }
  out.workspace = configuration.find_workspace(key->workspace);
  if (!out.workspace) {
    return not_run(401, "workspace_unknown", "the key's workspace does not exist");
  }
  return out;
}

void entry_traffic::admit(const proxy::authorized_request& request,
                          std::function<void(proxy::decided<void>)> done) {
  const auto now = base::clock::now();
  if (auto refused = refusal_of_path()) {
    done(std::move(*refused));
    return;
  }
  retries_.deposit(request.service->name, now);
  if (!request.workspace || request.workspace->is_unlimited) {
    enter_gate(request, std::move(done));
    return;
  }
  rates_.acquire(
      request.workspace->name, now, request.deadline,
      [this, request, done = std::move(done)](rates::acquired result) {
        const auto decided_at = base::clock::now();
        const auto& workspace = *request.workspace;
        const rates::limit fleet_limit{workspace.rate, workspace.burst};
        if (result) {
          local_share_.note_granted(workspace.name, fleet_limit, link_.entry_count(), decided_at);
          enter_gate(request, done);
          return;
        }
        const auto& r = result.error();
        if (r.reason == rates::refusal_reason::over_rate) {
          board_.note_refused(request.service->name, decided_at);
          done(not_run(429, "over_rate", "the workspace has used its rate and burst",
                       r.retry_after));
        } else if (local_share_.take(workspace.name, fleet_limit, link_.entry_count(),
                                     decided_at)) {
          runtime_.metrics.count("rate_local_total", rates::to_string(r.reason));
          enter_gate(request, done);
        } else {
          board_.note_refused(request.service->name, decided_at);
          done(not_run(
              429, rates::to_string(r.reason),
              "the owner of the workspace's rate is unreachable and the local share is used up"));
        }
      });
}

proxy::decided<proxy::upstream_target> entry_traffic::pick(const proxy::authorized_request& request,
                                                           std::uint64_t fingerprint,
                                                           const std::vector<std::string>& tried) {
  const auto now = base::clock::now();
  // The lease may have expired while the request waited or the process was paused.
  if (auto refused = refusal_of_age(!request.route->is_open, now)) {
    return std::move(*refused);
  }
  if (auto refused = refusal_of_path()) {
    return std::move(*refused);
  }
  if (crashes_.is_suspect(fingerprint, now)) {
    return not_run(503, "crash_suspect",
                   "this request is suspected of crashing the servers that ran it",
                   suspect_retry_after);
  }
  const balance::board_request selection{request.service->name,
                                         request.serial,
                                         request.route->is_repeatable(),
                                         rank_of(request) == 0,
                                         request.route->kind == config::request_kind::upload,
                                         request.has_streamed_body};
  auto chosen = board_.begin(selection, tried, now);
  if (!chosen) {
    if (auto paused = refusal_of_pause(request.service->name, now)) {
      return std::move(*paused);
    }
    switch (chosen.error()) {
    case balance::board_error::unknown_service:
      return not_run(503, "no_server", "no server of the service is known", no_server_retry_after);
    case balance::board_error::all_evacuated:
      return refusal_of_evacuation();
    case balance::board_error::all_streaming:
      return not_run(503, "streams_full", "other bodies that are arriving take all places",
                     overload_retry_after);
    case balance::board_error::all_tried:
      return not_run(503, "no_other_server", "the request has been tried on every server");
    case balance::board_error::all_busy:
    case balance::board_error::all_paused:
      break;
    }
    auto busy = not_run(503, "servers_full", "every server is full", overload_retry_after);
    busy.is_transient = tried.empty();
    return busy;
  }
  const auto& record = chosen.value();
  if (board_.limit_of(record.id)) {
    runtime_.metrics.count("limited_server_requests_total", tried.empty() ? "first" : "again");
  }
  if (board_.is_cold(record.id, now)) {
    runtime_.metrics.count("cold_server_requests_total", tried.empty() ? "first" : "again");
  }
  proxy::upstream_target out;
  out.id = record.id;
  out.instance = record.id;
  settings::endpoint endpoint;
  (void)settings::parse_endpoint(record.address, endpoint); // no connection is made to an empty one
  out.address = std::move(endpoint.address);
  out.port = endpoint.port;
  return out;
}

void entry_traffic::report(const proxy::authorized_request& request,
                           const health::attempt& reported) {
  const auto now = base::clock::now();
  auto a = reported;
  note_attempt(a, now);
  board_.end(a.upstream, request.serial, a, now);
  if (const auto it = demands_.find(request.service->name); it != demands_.end()) {
    it->second.note_ended();
  }
  switch (a.end) {
  case health::attempt_end::closed_unanswered:
  case health::attempt_end::stale_connection:
    crashes_.record_closed(a.fingerprint, a.upstream, now);
    break;
  case health::attempt_end::ok:
  case health::attempt_end::error_status:
    crashes_.record_answered(a.fingerprint, now);
    break;
  default:
    break;
  }
  if (board_.has_news()) {
    send_report(now);
  }
  dispatch(request.service->name, now);
}

bool entry_traffic::may_retry(const proxy::authorized_request& request,
                              const health::attempt& last) {
  const auto now = base::clock::now();
  const bool is_certain = health::is_certainly_not_run(last.end);
  if (!request.route->is_repeatable() && !is_certain) {
    return false;
  }
  // A failed connect takes nothing from the retry budget: the request did not reach the upstream.
  if (last.end == health::attempt_end::connect_failed) {
    return true;
  }
  return retries_.withdraw(request.service->name, link_.entry_count(), now);
}

std::optional<base::duration>
entry_traffic::hedge_delay(const proxy::authorized_request& request) const {
  const auto typical = board_.mean_response_time(request.service->name);
  if (!request.route->is_repeatable() || !typical) {
    return std::nullopt;
  }
  const auto delay = std::max<base::duration>(
      base::from_seconds(base::to_seconds(*typical) * hedge_factor), min_hedge_delay);
  const bool is_useful = base::clock::now() + delay + *typical < request.deadline;
  return is_useful ? std::optional(delay) : std::nullopt;
}

void entry_traffic::on_server(const fleet::server_record& record) {
  board_.set_record(record, base::clock::now());
}

void entry_traffic::update_controls() {
  runtime_.set_peers(link_.controls());
  const auto& lease = link_.lease();
  if (lease.voters().empty() || lease.voters_index() == view_index_) {
    return;
  }
  view_index_ = lease.voters_index();
  membership::fleet_view view;
  view.version = view_index_ + 1;
  for (const auto& id : lease.voters()) {
    view.members.push_back({id, "", "", "", true});
  }
  rates_.set_view(view, base::clock::now());
}

void entry_traffic::receive(std::string_view from, message_kind kind, std::string_view body,
                            base::time_point now) {
  if (kind == message_kind::rate_grant) {
    rates_.receive(from, kind, body, now);
    return;
  }
  if (kind == message_kind::permit_grant) {
    receive_permits(from, body, now);
    return;
  }
  auto total = peer::unpack<fleet::load_report>(body);
  if (kind != message_kind::load_total || !total) {
    runtime_.metrics.count("malformed_messages_total");
    return;
  }
  if (from != relay_) {
    return; // a former relay has only part of the totals
  }
  std::erase_if(total->failures,
                [&](const auto& note) { return note.reporter == runtime_.settings.id; });
  failures_.others += total->failures.size();
  runtime_.metrics.count("server_failures_total", "others",
                         static_cast<double>(total->failures.size()));
  board_.apply_total(*total, now);
  learn_demands(*total, now);
  for (const auto& note : total->failures) {
    if (note.kind == fleet::failure_kind::reset) {
      crashes_.record_closed(note.fingerprint, note.server, now);
    }
  }
  for (const auto& [service, gate] : gates_) {
    dispatch(service, now);
  }
}

void entry_traffic::receive_permits(std::string_view from, std::string_view body,
                                    base::time_point now) {
  const auto grant = peer::unpack<fleet::permit_grant>(body);
  if (!grant) {
    runtime_.metrics.count("malformed_messages_total");
    return;
  }
  if (from != relay_) {
    return; // the new relay has issued permits for the same requests
  }
  board_.add_permits(*grant, now);
  add_cold_permits(*grant, now);
  for (const auto& [service, gate] : gates_) {
    dispatch(service, now);
  }
}

void entry_traffic::send_report(base::time_point now) {
  const auto relay = link_.relay(now);
  const bool is_local = link_.is_relay_local(relay);
  board_.set_instances(link_.entry_count());
  if (relay != relay_ || is_local != is_relay_local_) {
    relay_ = relay;
    is_relay_local_ = is_local;
    board_.change_relay(is_local);
    for (auto& [service, demand] : demands_) {
      demand.change_relay();
    }
    full_report_at_ = {};
  }
  board_.set_relay(!relay_.empty(), link_.entry_count(), now);
  if (relay_.empty()) {
    return;
  }
  auto report = board_.take_report();
  failures_.own += report.failures.size();
  runtime_.metrics.count("server_failures_total", "own",
                         static_cast<double>(report.failures.size()));
  if (now >= full_report_at_) {
    full_report_at_ = now + full_report_interval;
    report.is_full = true;
    auto full = board_.full_report();
    report.loads = std::move(full.loads);
    // Changes come last: `report.limits` has the limits that have ended.
    report.limits.insert(report.limits.begin(), full.limits.begin(), full.limits.end());
  }
  add_demands(report, now);
  const bool is_empty = report.loads.empty() && report.failures.empty() && report.limits.empty() &&
                        report.demands.empty();
  if (report.is_full || !is_empty) {
    for (const auto& part : fleet::in_messages(std::move(report))) {
      runtime_.send(relay_, message_kind::load_pulse, peer::pack(part));
    }
  }
}

void entry_traffic::tick(base::time_point now) {
  if (!start_gate_.is_open() && link_.has_document() && link_.is_fresh()) {
    start_gate_.open();
  }
  start_gate_.tick(now);
  rates_.tick(now);
  board_.tick(now);
  runtime_.metrics.set("cold_servers", static_cast<double>(board_.cold_servers(now)));
  probe_paths(now);
  send_report(now);
  log_suspicions(now);
  log_full_services(now);
  for (const auto& [service, gate] : gates_) {
    dispatch(service, now);
  }
  crashes_.expire(now);
}

} // namespace kingcupshunt::node
