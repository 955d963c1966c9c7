#include <algorithm>
#include <map>
#include <vector>

#include "kingcupshunt/balance/balancer.h"
#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::balance {

namespace {

constexpr std::uint32_t default_max_connections = 330;

} // namespace

bool has_shares(selection method) noexcept {
  return method == selection::slot_share || method == selection::slot_share_reported ||
         method == selection::slot_share_only;
}

// The subset is bounded so that a server is used by at most max_connections /
// connections_per_instance instances. Today's services are far below that and use all servers.
void balancer::choose_subset(std::string_view name, service_servers& s) const {
  const auto bound =
      hooks_.max_connections ? hooks_.max_connections(name) : default_max_connections;
  const auto nodes = std::max<std::size_t>(1, view_.members.size());
  const auto size = std::max(settings_.min_subset,
                             s.servers.size() * bound / nodes / settings_.connections_per_instance);
  for (auto& v : s.servers) {
    v.is_in_subset = size >= s.servers.size();
  }
  if (size >= s.servers.size()) {
    return;
  }
  std::vector<std::string> ids;
  for (const auto& v : s.servers) {
    ids.push_back(v.up.info.id);
  }
  const auto order = base::rendezvous_order(settings_.self, ids);
  for (std::size_t i = 0; i < size; ++i) {
    s.servers[order[i]].is_in_subset = true;
  }
  // At least two servers of the own data centre, so that one may fail.
  int local = 0;
  for (const auto i : order) {
    auto& v = s.servers[i];
    if (local < 2 && v.up.info.data_centre == settings_.data_centre) {
      v.is_in_subset = true;
      ++local;
    }
  }
}

// Deals every slot to one instance without any message: all instances compute the same deal from
// the same view and registry. A slot goes to an instance of the server's data centre when there is
// one. Where views differ for a moment two instances hold the same slot, which costs one shed.
void balancer::assign_slots(std::string_view name, service_servers& s) const {
  for (auto& v : s.servers) {
    v.share = 0;
  }
  if (!has_shares(settings_.method)) {
    return;
  }
  std::map<std::string_view, std::vector<std::string>> instances;
  const auto active = view_.active_ids();
  for (const auto& member : view_.members) {
    if (member.is_active) {
      instances[member.data_centre].push_back(member.id);
    }
  }
  std::map<std::string_view, std::vector<server*>> by_data_centre;
  for (auto& v : s.servers) {
    const bool is_usable = v.is_known && !v.state && !v.up.info.is_draining;
    if (is_usable) {
      const std::string_view data_centre = v.up.info.data_centre;
      by_data_centre[instances.contains(data_centre) ? data_centre : std::string_view{}].push_back(
          &v);
    }
  }
  for (auto& [data_centre, servers] : by_data_centre) {
    const auto found = instances.find(data_centre);
    const auto& recipients = found == instances.end() ? active : found->second;
    if (recipients.empty()) {
      continue;
    }
    const auto order = base::rendezvous_order(name, recipients);
    std::size_t next = 0;
    std::uint32_t max_slots = 0;
    for (const auto* v : servers) {
      max_slots = std::max(max_slots, v->up.info.slots);
    }
    // One slot of every server before the second of any, so that an instance's slots lie on
    // different servers.
    for (std::uint32_t slot = 0; slot < max_slots; ++slot) {
      for (auto* v : servers) {
        if (slot < v->up.info.slots) {
          v->share += recipients[order[next++ % order.size()]] == settings_.self ? 1 : 0;
        }
      }
    }
  }
}

} // namespace kingcupshunt::balance
