// Rates of workspaces: tokens of their owners, and shares while an owner is unavailable.

#include <utility>

#include "entry_traffic.h"
#include "request_facts.h"

namespace kingcupshunt::node {

using peer::message_kind;

rates::client_hooks entry_traffic::make_rate_hooks() {
  rates::client_hooks out;
  out.send = [this](std::string_view to, message_kind kind, std::string body) {
    runtime_.send(to, kind, std::move(body));
  };
  out.on_answer = [this](std::string_view workspace, std::uint32_t free, base::time_point sent) {
    local_share_.note_answer(workspace, free, sent);
  };
  return out;
}

rates::share_basis entry_traffic::share_basis_of(std::string_view workspace,
                                                 base::time_point now) const {
  return {static_cast<double>(link_.sharing_entries(now)),
          link_.granting_at(rates_.owner_of(workspace))};
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
        const auto basis = share_basis_of(workspace.name, decided_at);
        if (result) {
          local_share_.note_granted(workspace.name, fleet_limit, basis.instances, decided_at);
          enter_gate(request, done);
          return;
        }
        const auto& r = result.error();
        if (r.reason == rates::refusal_reason::over_rate) {
          board_.note_refused(request.service->name, decided_at);
          done(not_run(429, "over_rate", "the workspace has used its rate and burst",
                       r.retry_after));
        } else if (local_share_.take(workspace.name, fleet_limit, basis, decided_at)) {
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

} // namespace kingcupshunt::node
