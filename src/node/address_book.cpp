#include "address_book.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::node {

namespace {

constexpr std::string_view path_prefix = "/.kingcupshunt/addresses";
constexpr std::size_t whole_fleet_limit = 64; ///< larger fleets report within a data centre
constexpr base::seconds short_interval{1};
constexpr base::seconds long_interval{5}; ///< 4 KB/s at 170 instances in a data centre
constexpr base::seconds report_lifetime{15};

/// One instance serves this many requests/s of a workspace before its callers use another one, so
/// that the tokens of a small rate are not divided over all instances.
constexpr double rate_per_instance = 5;
constexpr std::size_t min_spread = 2;

} // namespace

void address_book::set_local(const condition_report& own, base::time_point now) {
  const bool has_changed = own.is_ready != local_.is_ready;
  local_ = own;
  if (has_changed || now >= next_send_) {
    send_local(now);
  }
}

void address_book::send_local(base::time_point now) {
  const auto& members = fleet_.view().members;
  const bool is_small = members.size() <= whole_fleet_limit;
  next_send_ = now + (is_small ? base::duration(short_interval) : long_interval);
  const auto body = peer::pack(local_);
  for (const auto& it : members) {
    const bool is_near = is_small || it.data_centre == rt_.settings.data_centre;
    if (it.is_active && is_near && it.id != rt_.settings.id) {
      rt_.send(it.id, peer::message_kind::condition_report, body);
    }
  }
}

void address_book::receive(std::string_view from, std::string_view body, base::time_point now) {
  if (const auto report = peer::unpack<condition_report>(body)) {
    reports_[std::string(from)] = {*report, now};
  }
}

membership::member_condition address_book::condition_of(const membership::fleet_member& member,
                                                        base::time_point now) const {
  membership::member_condition out;
  if (member.id == rt_.settings.id) {
    out.is_leaving = fleet_.is_leaving();
    out.is_healthy = local_.is_ready;
    out.is_fresh = fleet_.is_fresh(now);
    out.load = local_.load;
    return out;
  }
  const auto status = fleet_.detector().status_of(member.id);
  out.is_alive = member.is_active && status == membership::member_status::alive;
  out.is_leaving = status == membership::member_status::left;
  const auto it = reports_.find(member.id);
  if (it != reports_.end() && now - it->second.received < report_lifetime) {
    out.is_healthy = it->second.report.is_ready;
    out.load = it->second.report.load;
  }
  return out;
}

std::optional<proxy::local_answer> address_book::answer(const proxy::request_head& head) const {
  if (!head.path.starts_with(path_prefix)) {
    return std::nullopt;
  }
  auto rest = std::string_view(head.path).substr(path_prefix.size());
  if (!rest.empty() && rest.front() != '/') {
    return std::nullopt;
  }
  rest.remove_prefix(rest.empty() ? 0 : 1);
  const auto now = base::clock::now();
  const auto& view = fleet_.view();
  std::vector<membership::member_condition> conditions;
  for (const auto& member : view.members) {
    conditions.push_back(condition_of(member, now));
  }
  membership::address_request request;
  request.caller = head.caller_address;
  request.data_centre = rest.empty() ? std::string_view(rt_.settings.data_centre) : rest;
  std::shared_ptr<const config::workspace> workspace;
  if (head.bearer_key) {
    const auto key = fleet_.configuration().find_key(base::sha256(*head.bearer_key));
    workspace = key ? fleet_.configuration().find_workspace(key->workspace) : nullptr;
  }
  if (workspace) {
    request.workspace = workspace->name;
    const auto wanted = static_cast<std::size_t>(std::ceil(workspace->rate / rate_per_instance));
    request.spread = wanted >= view.members.size() ? 0 : std::max(wanted, min_spread);
  }
  const auto chosen = membership::answer_addresses({}, view, conditions, request);
  const nlohmann::json page = {{"addresses", chosen.addresses},
                               {"lifetime_ms", base::to_ms(chosen.lifetime)},
                               {"is_degraded", chosen.is_degraded}};
  proxy::local_answer out;
  out.body = page.dump() + "\n";
  out.max_age = std::chrono::duration_cast<base::seconds>(chosen.lifetime);
  return out;
}

} // namespace kingcupshunt::node
