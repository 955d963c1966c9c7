#include "kingcupshunt/health/registry.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace kingcupshunt::health {

namespace {

// A late message must not revive an expired server. Peers resend for less than a minute.
constexpr base::seconds tombstone_time{60};

// A change is sent again after these times, so that the loss of one message still leaves the
// second and third copy well inside the 2 s after which a leaving server gets no new work.
constexpr std::array<base::milliseconds, 2> resend_delays{base::milliseconds(200),
                                                          base::milliseconds(600)};

// Instances that pass a change on once more, for pairs of instances that cannot reach each other.
constexpr std::size_t relay_count = 3;

// Keeps a message under peer::max_body_bytes with names of up to 200 bytes.
constexpr std::size_t max_records_per_message = 2000;

constexpr std::size_t max_name_bytes = 200;

std::string key_of(std::string_view service, std::string_view id) {
  std::string key(service);
  key += '\n';
  key += id;
  return key;
}

auto version_of(const announcement& a) {
  return std::tuple(a.incarnation, a.sequence);
}

bool is_valid(const announcement& a) {
  const auto is_name = [](const std::string& s) {
    return !s.empty() && s.size() <= max_name_bytes && s.find('\n') == std::string::npos;
  };
  return is_name(a.service) && is_name(a.id) && a.data_centre.size() <= max_name_bytes &&
         a.slots > 0 && a.slots <= 10'000;
}

} // namespace

registry::registry(registry_settings settings, registry_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), rng_(settings_.seed) {}

bool registry::announce(const announcement& a, base::time_point now) {
  if (!is_valid(a)) {
    ++malformed_;
    return false;
  }
  auto next = a;
  const auto key = key_of(a.service, a.id);
  const auto it = entries_.find(key);
  if (next.sequence == 0) {
    const bool is_same =
        it != entries_.end() && it->second.server.info.incarnation == a.incarnation;
    next.sequence = is_same ? it->second.server.info.sequence + 1 : 1;
  }
  const bool had_change = merge(next, now, now);
  const auto found = entries_.find(key);
  if (found == entries_.end() || version_of(found->second.server.info) != version_of(next)) {
    return false;
  }
  if (had_change) {
    send_records(peers_, {key}, now);
    for (const auto delay : resend_delays) {
      resends_.push_back({now + delay, key});
    }
  } else {
    renewed_keys_.push_back(key);
  }
  return true;
}

// Returns true when the change must be spread at once: a new server, incarnation, drain or size.
bool registry::merge(const announcement& a, base::time_point renewed, base::time_point now) {
  const auto key = key_of(a.service, a.id);
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    if (entries_.size() >= settings_.max_records || renewed + settings_.time_to_live <= now) {
      return false;
    }
    entries_.emplace(key, entry{{a, renewed, renewed, false}, false});
    notify_change(a.service, now);
    return true;
  }
  auto& e = it->second;
  auto& known = e.server.info;
  if (version_of(a) < version_of(known)) {
    return false;
  }
  const bool is_restarted = a.incarnation > known.incarnation;
  // Two instances may assign the same sequence to different announcements; draining wins.
  const bool is_draining = a.is_draining || (!is_restarted && known.is_draining);
  const bool is_alive = renewed + settings_.time_to_live > now;
  const bool has_changed = is_restarted || is_draining != known.is_draining ||
                           a.slots != known.slots || a.data_centre != known.data_centre;
  const bool is_revived = is_alive && (e.is_expired || e.server.is_stale);
  known = a;
  known.is_draining = is_draining;
  e.server.renewed = std::max(e.server.renewed, renewed);
  if (is_alive) {
    e.is_expired = false;
    e.server.is_stale = false;
  }
  if (is_restarted || is_revived) {
    e.server.first_seen = is_restarted ? renewed : e.server.first_seen;
  }
  if (has_changed || is_revived) {
    notify_change(a.service, now);
  }
  return has_changed || is_revived;
}

void registry::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                       base::time_point now) {
  if (kind == peer::message_kind::registry_update) {
    if (const auto update = peer::unpack<registry_update>(body)) {
      handle_update(from, *update, now);
    } else {
      ++malformed_;
    }
  } else if (kind == peer::message_kind::registry_digest) {
    if (const auto digest = peer::unpack<registry_digest>(body)) {
      handle_digest(from, *digest, now);
    } else {
      ++malformed_;
    }
  }
}

void registry::handle_update(std::string_view from, const registry_update& update,
                             base::time_point now) {
  std::vector<std::string> to_relay;
  std::vector<std::string> to_repair;
  for (const auto& record : update.records) {
    if (!is_valid(record.info)) {
      ++malformed_;
      continue;
    }
    const auto key = key_of(record.info.service, record.info.id);
    const auto it = entries_.find(key);
    if (it != entries_.end() && version_of(record.info) < version_of(it->second.server.info)) {
      to_repair.push_back(key);
    } else if (merge(record.info, now - base::milliseconds(record.age_ms), now)) {
      to_relay.push_back(key);
    }
  }
  if (!to_relay.empty()) {
    send_records(random_peers(relay_count), to_relay, now);
  }
  // The sender holds an older version; without this a restarted instance would number
  // announcements below what the others know, and they would ignore it.
  if (!to_repair.empty()) {
    send_records({std::string(from)}, to_repair, now);
  }
}

void registry::handle_digest(std::string_view from, const registry_digest& digest,
                             base::time_point now) {
  std::map<std::string, std::tuple<std::uint64_t, std::uint64_t>, std::less<>> peer_versions;
  bool is_behind = false;
  for (const auto& v : digest.versions) {
    auto key = key_of(v.service, v.id);
    const auto it = entries_.find(key);
    const auto version = std::tuple(v.incarnation, v.sequence);
    is_behind = is_behind || it == entries_.end() || version_of(it->second.server.info) < version;
    peer_versions.emplace(std::move(key), version);
  }
  std::vector<std::string> newer;
  for (auto it = entries_.lower_bound(digest.first);
       it != entries_.end() && (digest.last.empty() || it->first < digest.last); ++it) {
    if (it->second.is_expired || it->second.server.is_stale) {
      continue;
    }
    const auto known = peer_versions.find(it->first);
    if (known == peer_versions.end() || known->second < version_of(it->second.server.info)) {
      newer.push_back(it->first);
    }
  }
  send_records({std::string(from)}, newer, now);
  if (is_behind && !digest.is_answer) {
    send_digest(from, true, digest.first, now);
  }
}

void registry::tick(base::time_point now) {
  expire(now);
  std::set<std::string> due;
  while (!resends_.empty() && resends_.front().due <= now) {
    due.insert(resends_.front().key);
    resends_.pop_front();
  }
  if (now >= next_renewal_) {
    due.insert(renewed_keys_.begin(), renewed_keys_.end());
    renewed_keys_.clear();
    next_renewal_ = now + settings_.renewal_interval;
  }
  if (!due.empty()) {
    send_records(peers_, {due.begin(), due.end()}, now);
  }
  if (now >= next_digest_) {
    next_digest_ = now + settings_.digest_interval;
    for (const auto& peer : random_peers(2)) {
      send_digest(peer, false, digest_cursor_, now);
    }
    const auto it = entries_.lower_bound(digest_cursor_);
    const auto left = static_cast<std::size_t>(std::distance(it, entries_.end()));
    digest_cursor_ =
        left > max_records_per_message ? std::next(it, max_records_per_message)->first : "";
  }
}

void registry::expire(base::time_point now) {
  std::set<std::string> services;
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& e = it->second;
    const auto age = now - e.server.renewed;
    if (e.is_expired && age > settings_.time_to_live + tombstone_time) {
      it = entries_.erase(it);
      continue;
    }
    const bool is_over = age >= settings_.time_to_live;
    if (is_over && !e.is_expired &&
        (!e.server.is_stale || age > settings_.time_to_live + settings_.stale_time_to_live)) {
      services.insert(e.server.info.service);
    }
    ++it;
  }
  for (const auto& service : services) {
    expire_service(service, now);
  }
}

// When the last announced server of a service expires, this instance is more likely cut off than
// all servers gone, so the last known ones stay as a last resort. Draining ones never stay.
void registry::expire_service(const std::string& service, base::time_point now) {
  const auto first = entries_.lower_bound(service + '\n');
  bool has_live = false;
  std::size_t kept = 0;
  for (auto it = first; it != entries_.end() && it->second.server.info.service == service; ++it) {
    const auto& e = it->second;
    has_live = has_live || (!e.is_expired && !e.server.is_stale && !e.server.info.is_draining &&
                            now - e.server.renewed < settings_.time_to_live);
  }
  for (auto it = first; it != entries_.end() && it->second.server.info.service == service; ++it) {
    auto& e = it->second;
    const auto age = now - e.server.renewed;
    if (e.is_expired || age < settings_.time_to_live) {
      continue;
    }
    const bool is_kept = !has_live && !e.server.info.is_draining &&
                         age <= settings_.time_to_live + settings_.stale_time_to_live;
    kept += is_kept && !e.server.is_stale ? 1 : 0;
    e.server.is_stale = is_kept;
    e.is_expired = !is_kept;
  }
  if (kept > 0 && hooks_.on_decision) {
    hooks_.on_decision({"registry.keep_stale", "service", service, "kept_stale",
                        "servers=" + std::to_string(kept), 0});
  }
  notify_change(service, now);
}

void registry::set_view(const membership::fleet_view& view, base::time_point /*now*/) {
  peers_ = view.active_ids();
  std::erase(peers_, settings_.self);
}

std::vector<upstream> registry::upstreams(std::string_view service) const {
  std::vector<upstream> out;
  bool has_live = false;
  for (auto it = entries_.lower_bound(std::string(service) + '\n');
       it != entries_.end() && it->second.server.info.service == service; ++it) {
    if (!it->second.is_expired) {
      out.push_back(it->second.server);
      has_live = has_live || (!out.back().is_stale && !out.back().info.is_draining);
    }
  }
  if (has_live) {
    std::erase_if(out, [](const upstream& u) { return u.is_stale; });
  }
  return out;
}

std::vector<std::string> registry::services() const {
  std::vector<std::string> out;
  for (const auto& [key, e] : entries_) {
    if (!e.is_expired && (out.empty() || out.back() != e.server.info.service)) {
      out.push_back(e.server.info.service);
    }
  }
  return out;
}

void registry::send_records(const std::vector<std::string>& to,
                            const std::vector<std::string>& keys, base::time_point now) {
  registry_update update;
  const auto flush = [&] {
    if (!update.records.empty() && hooks_.send) {
      const auto body = peer::pack(update);
      for (const auto& peer : to) {
        hooks_.send(peer, peer::message_kind::registry_update, body);
      }
    }
    update.records.clear();
  };
  for (const auto& key : keys) {
    const auto it = entries_.find(key);
    if (it == entries_.end()) {
      continue;
    }
    const auto age = std::max<std::int64_t>(0, base::to_ms(now - it->second.server.renewed));
    update.records.push_back(
        {it->second.server.info,
         static_cast<std::uint32_t>(std::min<std::int64_t>(age, 1'000'000'000))});
    if (update.records.size() >= max_records_per_message) {
      flush();
    }
  }
  flush();
}

void registry::send_digest(std::string_view to, bool is_answer, const std::string& first,
                           base::time_point /*now*/) {
  registry_digest digest;
  digest.first = first;
  digest.is_answer = is_answer;
  for (auto it = entries_.lower_bound(first); it != entries_.end(); ++it) {
    if (digest.versions.size() >= max_records_per_message) {
      digest.last = it->first;
      break;
    }
    const auto& info = it->second.server.info;
    if (!it->second.is_expired) {
      digest.versions.push_back({info.service, info.id, info.incarnation, info.sequence});
    }
  }
  if (hooks_.send) {
    hooks_.send(to, peer::message_kind::registry_digest, peer::pack(digest));
  }
}

std::vector<std::string> registry::random_peers(std::size_t n) {
  std::vector<std::string> pool = peers_;
  const auto count = std::min(n, pool.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(pool[i], pool[i + rng_.below(pool.size() - i)]);
  }
  pool.resize(count);
  return pool;
}

void registry::notify_change(const std::string& service, base::time_point now) {
  if (hooks_.on_change) {
    hooks_.on_change(service, now);
  }
}

} // namespace kingcupshunt::health
