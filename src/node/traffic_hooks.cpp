#include <algorithm>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/config/route_parts.h"
#include "kingcupshunt/settings/process_settings.h"
#include "request_facts.h"
#include "traffic.h"

namespace kingcupshunt::node {

namespace {

using proxy::ran_state;
using proxy::refusal;

constexpr base::milliseconds busy_retry_after{200};

refusal refusal_of(const rates::rate_refusal& r) {
  switch (r.reason) {
  case rates::refusal_reason::over_rate:
    return not_run(429, "over_rate", "the workspace has used its rate and burst", r.retry_after);
  case rates::refusal_reason::owner_starting:
    return not_run(503, "rate_owner_starting", "the owner of the workspace's rate is starting",
                   r.retry_after);
  case rates::refusal_reason::owner_silent:
    return not_run(503, "rate_owner_silent", "the owner of the workspace's rate does not answer",
                   r.retry_after);
  case rates::refusal_reason::unknown_workspace:
    return not_run(503, "rate_owner_unknown", "no instance owns the workspace's rate",
                   r.retry_after);
  }
  return not_run(503, "rate_unavailable", "the workspace's rate is not available");
}

refusal refusal_of(state::client_error error) {
  // An earlier attempt with this key may have run; only the log would show it.
  refusal out{503, "reservation_unavailable", state::message_of(error), ran_state::unknown,
              std::nullopt};
  return out;
}

proxy::decided<proxy::reservation> reservation_of(const state::command_result& result,
                                                  std::uint64_t attempt_id) {
  switch (result.code) {
  case state::outcome::granted:
    return proxy::reservation{attempt_id, std::nullopt};
  case state::outcome::done:
    if (result.has_answer) {
      return proxy::reservation{attempt_id, proxy::stored_answer{result.answer.status,
                                                                 result.answer.content_type,
                                                                 result.answer.body}};
    }
    return refusal{409, "already_ran", "the request ran; its answer was too large to be stored",
                   ran_state::yes, std::nullopt};
  case state::outcome::may_have_run:
    return refusal{409, "may_have_run",
                   "an earlier request with this Idempotency-Key may have run " +
                       std::to_string(result.age_ms) + " ms ago",
                   ran_state::unknown, std::nullopt};
  case state::outcome::differs:
    return refusal{422, "idempotency_key_reused",
                   "this Idempotency-Key was used for another request", ran_state::unknown,
                   std::nullopt};
  case state::outcome::full:
    return not_run(503, "reservations_full", "no further reservation can be stored");
  default:
    return refusal{503, "reservation_refused", state::message_of(result.code), ran_state::unknown,
                   std::nullopt};
  }
}

} // namespace

proxy::hooks traffic::make_hooks() {
  proxy::hooks out;
  out.authorize = [this](const proxy::request_head& head) { return authorize(head); };
  out.admit = [this](const proxy::request_head& head, const proxy::authorized_request& request,
                     std::function<void(proxy::decided<void>)> done) {
    admit(head, request, std::move(done));
  };
  out.finish = [this](const proxy::authorized_request& request) { finish(request); };
  out.pick = [this](const proxy::authorized_request& request, std::uint64_t fingerprint,
                    const std::vector<std::string>& tried) {
    return pick(request, fingerprint, tried);
  };
  out.plan_try = [this](const proxy::authorized_request& request, std::uint64_t fingerprint,
                        std::function<void(proxy::decided<void>)> done) {
    plan_try(request, fingerprint, std::move(done));
  };
  out.abandon_try = [this](std::uint64_t fingerprint) {
    isolated_at_.erase(fingerprint);
    suspects_->abandon(fingerprint, base::clock::now());
  };
  out.settle_try = [this](const health::attempt& a, std::function<void()> done) {
    // The close of a reused connection is no evidence of a faulty server, but it may be a crash.
    const auto end = a.end == health::attempt_end::stale_connection
                         ? health::attempt_end::closed_unanswered
                         : a.end;
    suspects_->end(a.fingerprint, a.upstream, end, base::clock::now(), std::move(done));
  };
  out.report = [this](const proxy::authorized_request& request, const health::attempt& a) {
    report(request, a);
  };
  out.note_leaving = [this](const proxy::authorized_request& request, const std::string& server) {
    balancer_->note_leaving(request.service->name, server, *request.turn_started);
  };
  out.may_retry = [this](const proxy::authorized_request& request, const health::attempt& last) {
    return may_retry(request, last);
  };
  out.hedge_delay = [this](const proxy::authorized_request& request) {
    return hedging_->delay(request.route->name, request.route->is_hedged,
                           request.route->is_repeatable(), request.deadline - base::clock::now());
  };
  out.reserve = [this](const proxy::request_head& head, const proxy::authorized_request& request,
                       std::uint64_t fingerprint,
                       std::function<void(proxy::decided<proxy::reservation>)> done) {
    reserve(head, request, fingerprint, std::move(done));
  };
  out.complete = [this](std::uint64_t attempt_id, std::optional<proxy::stored_answer> answer) {
    complete(attempt_id, std::move(answer));
  };
  out.release = [this](std::uint64_t attempt_id) {
    fleet_.client().release_key(attempt_id, base::clock::now());
  };
  return out;
}

proxy::decided<proxy::authorized_request> traffic::authorize(const proxy::request_head& head) {
  const auto now = base::clock::now();
  const auto& configuration = fleet_.configuration();
  proxy::authorized_request out;
  out.route = configuration.find_route(head.host, head.method, head.path);
  if (!out.route) {
    return not_run(404, "no_route", "no route matches this request");
  }
  const auto* part = config::part_at(*out.route, random_.unit());
  out.service = configuration.find_service(part != nullptr ? part->service : out.route->service);
  if (!out.service) {
    return not_run(503, "no_service", "the service of the route does not exist");
  }
  const auto timeout = out.route->timeout.count() > 0 ? out.route->timeout : out.service->timeout;
  out.deadline = head.arrival_time + timeout;
  out.turn_started = std::make_shared<base::time_point>(now);
  if (out.route->is_open) {
    return out;
  }
  if (!head.bearer_key) {
    return not_run(401, "key_missing", "this route requires Authorization: Bearer with a key");
  }
  const auto key = configuration.find_key(base::sha256(*head.bearer_key));
  if (fleet_.is_fresh(now) && (!key || key->is_withdrawn)) {
    return not_run(401, key ? "key_withdrawn" : "key_unknown", "the key is not accepted");
  }
  if (!fleet_.is_fresh(now)) {
    // The key may have been withdrawn or issued without this instance having been notified.
    auto stale =
        not_run(503, "stale_view", "this instance is disconnected from the fleet; use another one");
    if (!out.route->is_repeatable() && head.idempotency_key) {
      stale.ran = ran_state::unknown; // an earlier attempt with this Idempotency-Key may have run
    }
    return stale;
  }
  out.workspace = configuration.find_workspace(key->workspace);
  return out;
}

void traffic::admit(const proxy::request_head&, const proxy::authorized_request& request,
                    std::function<void(proxy::decided<void>)> done) {
  if (!request.workspace) {
    enter_queue(request, std::move(done));
    return;
  }
  const auto& workspace = request.workspace->name;
  rate_client_->acquire(workspace, base::clock::now(), request.deadline,
                        [this, request, done = std::move(done)](rates::acquired token) {
                          if (token) {
                            enter_queue(request, done);
                            return;
                          }
                          auto refused = refusal_of(token.error());
                          record_refusal("workspace", request.workspace->name, refused);
                          done(std::move(refused));
                        });
}

admission::fair_queue& traffic::queue_of(const config::service& service, base::time_point now) {
  auto& queue = queues_[service.name];
  if (!queue) {
    admission::fair_queue_hooks hooks;
    hooks.on_decision = [this](const observe::decision& d) { rt_.record(d); };
    queue = std::make_unique<admission::fair_queue>(
        admission::fair_queue_settings{service.name, service.queue_limit}, std::move(hooks));
    const auto it = slots_.find(service.name);
    queue->set_slots(it == slots_.end() ? 0 : it->second, now);
  }
  return *queue;
}

void traffic::enter_queue(const proxy::authorized_request& request,
                          std::function<void(proxy::decided<void>)> done) {
  const auto now = base::clock::now();
  admission::queued_request queued;
  if (request.workspace) {
    queued.workspace = request.workspace->name;
    queued.weight = request.workspace->weight;
  }
  queued.priority = request.route->priority;
  queued.deadline = request.deadline;
  const auto started = request.turn_started;
  queue_of(*request.service, now)
      .enter(queued, now, [started, done = std::move(done)](proxy::decided<void> turn) {
        *started = base::clock::now();
        done(std::move(turn));
      });
}

void traffic::finish(const proxy::authorized_request& request) {
  const auto now = base::clock::now();
  queue_of(*request.service, now)
      .finish(request.workspace ? request.workspace->name : std::string{}, request.route->priority,
              now - *request.turn_started, now);
}

void traffic::plan_try(const proxy::authorized_request& request, std::uint64_t fingerprint,
                       std::function<void(proxy::decided<void>)> done) {
  service_of_suspect_[fingerprint] = request.service->name;
  suspects_->admit(fingerprint, base::clock::now(), request.deadline,
                   [this, fingerprint, done = std::move(done)](auto plan) {
                     service_of_suspect_.erase(fingerprint);
                     if (!plan) {
                       done(plan.error());
                       return;
                     }
                     if (plan.value().isolated_at) {
                       isolated_at_[fingerprint] = *plan.value().isolated_at;
                     }
                     done(base::success());
                   });
}

// Returns a server without requests from this instance and without another crash suspect.
std::optional<std::string> traffic::pick_idle(std::uint64_t fingerprint) {
  const auto service = service_of_suspect_.find(fingerprint);
  if (service == service_of_suspect_.end()) {
    return std::nullopt;
  }
  for (const auto& it : registry_->upstreams(service->second)) {
    const auto& id = it.info.id;
    if (!it.info.is_draining && !it.is_stale && !suspects_->is_isolation_server(id) &&
        !balancer_->is_leaving(service->second, id) &&
        balancer_->in_flight(service->second, id) == 0 &&
        !balancer_->is_paused(service->second, id, base::clock::now())) {
      return id;
    }
  }
  return std::nullopt;
}

// Chooses a server that runs no crash suspect.
balance::result<std::string> traffic::pick_regular(const proxy::authorized_request& request,
                                                   std::vector<std::string> tried,
                                                   base::time_point now) {
  while (true) {
    balance::pick_request query;
    query.service = request.service->name;
    query.route = request.route->name;
    query.tried = tried;
    query.is_repeatable = request.route->is_repeatable();
    auto picked = balancer_->pick(query, now);
    if (!picked || !suspects_->is_isolation_server(picked.value())) {
      return picked;
    }
    balancer_->release(request.service->name, picked.value());
    tried.push_back(picked.value());
  }
}

// Takes a slot at `server` and no other server, for a request suspected of crashing servers.
balance::result<std::string> traffic::pick_isolated(const proxy::authorized_request& request,
                                                    const std::string& server,
                                                    base::time_point now) {
  std::vector<std::string> others;
  for (const auto& it : registry_->upstreams(request.service->name)) {
    if (it.info.id != server) {
      others.push_back(it.info.id);
    }
  }
  balance::pick_request query;
  query.service = request.service->name;
  query.route = request.route->name;
  query.tried = others;
  query.is_isolated = true;
  query.is_repeatable = request.route->is_repeatable();
  return balancer_->pick(query, now);
}

proxy::decided<proxy::upstream_target> traffic::pick(const proxy::authorized_request& request,
                                                     std::uint64_t fingerprint,
                                                     const std::vector<std::string>& tried) {
  const auto now = base::clock::now();
  const auto isolated = isolated_at_.extract(fingerprint);
  auto picked = isolated.empty() ? pick_regular(request, tried, now)
                                 : pick_isolated(request, isolated.mapped(), now);
  if (!picked) {
    if (!isolated.empty()) {
      suspects_->abandon(fingerprint, now);
    }
    if (const auto end = balancer_->pause_end(request.service->name, now)) {
      return not_run(503, "servers_paused", "every server has asked for a pause",
                     std::chrono::ceil<base::milliseconds>(*end - now));
    }
    if (picked.error() == balance::pick_error::all_busy) {
      auto busy = not_run(503, "upstreams_busy", "all backend servers of the service are full",
                          busy_retry_after);
      busy.is_transient = true;
      return busy;
    }
    return not_run(503, "no_upstream", "the service has no backend server to use");
  }
  proxy::upstream_target out;
  settings::endpoint endpoint;
  if (!settings::parse_endpoint(picked.value(), endpoint) ||
      !suspects_->begin(fingerprint, picked.value(), now)) {
    balancer_->release(request.service->name, picked.value());
    return not_run(503, "crash_suspect",
                   "the request has just become suspected of crashing backend servers");
  }
  out.id = picked.value();
  out.address = endpoint.address;
  out.port = endpoint.port;
  reporter_->attempt_started(request.service->name, request.route->name, out.id, now);
  return out;
}

void traffic::report(const proxy::authorized_request& request, const health::attempt& a) {
  const auto now = base::clock::now();
  balancer_->report(a, now);
  reporter_->report(a, now);
  retries_->note(request.workspace ? request.workspace->name : std::string{}, a, now);
  hedging_->note(a);
  rt_.metrics.count("attempts_total", health::to_string(a.end));
  rt_.metrics.observe_seconds("attempt", base::to_seconds(a.total));
  if (a.end == health::attempt_end::shed) {
    queue_of(*request.service, now).note_shed(now);
  }
}

bool traffic::may_retry(const proxy::authorized_request& request, const health::attempt& last) {
  admission::retry_request retry;
  retry.workspace = request.workspace ? std::string_view(request.workspace->name) : "";
  retry.is_repeatable = request.route->is_repeatable();
  retry.deadline = request.deadline;
  return retries_->decide(retry, last, base::clock::now()).is_allowed;
}

void traffic::reserve(const proxy::request_head& head, const proxy::authorized_request& request,
                      std::uint64_t fingerprint,
                      std::function<void(proxy::decided<proxy::reservation>)> done) {
  const auto attempt = std::make_shared<std::uint64_t>(0);
  const auto on_answer =
      [attempt, done = std::move(done)](const state::client_result<state::command_result>& answer) {
        if (!answer) {
          done(refusal_of(answer.error()));
          return;
        }
        done(reservation_of(answer.value(), *attempt));
      };
  *attempt =
      fleet_.client().reserve_key(request.workspace->name, *head.idempotency_key, fingerprint,
                                  request.deadline, on_answer, base::clock::now());
}

void traffic::complete(std::uint64_t attempt_id, std::optional<proxy::stored_answer> answer) {
  const auto now = base::clock::now();
  if (!answer) {
    fleet_.client().abandon_key(attempt_id);
    return;
  }
  fleet_.client().complete_key(
      attempt_id, state::kept_answer{answer->status, answer->content_type, answer->body}, now);
}

void traffic::record_refusal(std::string_view kind, std::string_view subject, const refusal& r) {
  rt_.record({"refusal." + r.reason, std::string(kind), std::string(subject), "refused",
              "status=" + std::to_string(r.status), 0});
}

} // namespace kingcupshunt::node
