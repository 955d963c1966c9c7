#include "kingcupshunt/state/distribution.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/base/rendezvous.h"
#include "kingcupshunt/state/messages.h"

namespace kingcupshunt::state {

namespace {

/// Members of `all` by falling rendezvous weight, with `first` in front when it is among them.
std::vector<std::string> ordered(const std::string& root, const std::vector<std::string>& all,
                                 const std::string& first) {
  std::vector<std::string> out;
  out.reserve(all.size());
  for (const auto i : base::rendezvous_order(root, all)) {
    out.push_back(all[i]);
  }
  const auto it = std::ranges::find(out, first);
  if (it != out.end()) {
    std::rotate(out.begin(), it, it + 1);
  }
  return out;
}

/// Positions below `position` in a heap of `size` with `fan_out` children.
std::pair<std::size_t, std::size_t> below(std::size_t position, std::size_t fan_out,
                                          std::size_t size) {
  const auto begin = std::min(position * fan_out + 1, size);
  return {begin, std::min(begin + fan_out, size)};
}

} // namespace

distribution::distribution(distribution_settings settings, peer::send_function send)
    : settings_(std::move(settings)), send_(std::move(send)) {}

void distribution::set_view(const membership::fleet_view& view, base::time_point) {
  by_data_centre_.clear();
  data_centre_of_.clear();
  children_.clear();
  for (const auto& member : view.members) {
    if (member.is_active) {
      by_data_centre_[member.data_centre].push_back(member.id);
      data_centre_of_[member.id] = member.data_centre;
    }
  }
}

std::vector<std::string> distribution::find_children(const std::string& root) const {
  std::vector<std::string> out;
  const auto root_place = data_centre_of_.find(root);
  const auto place = data_centre_of_.find(settings_.self);
  if (root_place == data_centre_of_.end() || place == data_centre_of_.end()) {
    return out;
  }
  const auto members = ordered(root, by_data_centre_.at(place->second), root);
  const auto position =
      static_cast<std::size_t>(std::ranges::find(members, settings_.self) - members.begin());
  const auto [begin, end] = below(position, settings_.fan_out, members.size());
  if (position == 0) {
    // The first member of a data centre also passes on to the data centres below it.
    std::vector<std::string> names;
    for (const auto& [name, all] : by_data_centre_) {
      names.push_back(name);
    }
    const auto centres = ordered(root, names, root_place->second);
    const auto at =
        static_cast<std::size_t>(std::ranges::find(centres, place->second) - centres.begin());
    const auto [first, last] = below(at, settings_.fan_out, centres.size());
    for (auto i = first; i < last; ++i) {
      out.push_back(ordered(root, by_data_centre_.at(centres[i]), root).front());
    }
  }
  out.insert(out.end(), members.begin() + static_cast<std::ptrdiff_t>(begin),
             members.begin() + static_cast<std::ptrdiff_t>(end));
  return out;
}

const std::vector<std::string>& distribution::children(const std::string& root) {
  // Roots are the voters; a bound keeps forged roots from filling the memory.
  constexpr std::size_t max_roots = 64;
  auto it = children_.find(root);
  if (it == children_.end()) {
    if (children_.size() >= max_roots) {
      children_.clear();
    }
    it = children_.emplace(root, find_children(root)).first;
  }
  return it->second;
}

void distribution::relay(const std::string& root, const delta& d) {
  delta_message m;
  m.root = root;
  m.revision = d.revision;
  m.deltas.push_back(d);
  const auto body = peer::pack(m);
  if (body.size() > peer::max_body_bytes) {
    return; // the others fetch the whole state
  }
  for (const auto& child : children(root)) {
    send_(child, peer::message_kind::state_delta, body);
  }
}

} // namespace kingcupshunt::state
