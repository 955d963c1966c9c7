#include "kingcupshunt/config/records.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace kingcupshunt::config {

using nlohmann::json;

namespace {

constexpr std::array<std::pair<const char*, record_kind>, 5> sections{
    {{"services", record_kind::service},
     {"routes", record_kind::route},
     {"workspaces", record_kind::workspace},
     {"keys", record_kind::named_key},
     {"limits", record_kind::limits}}};

/// A key that states nothing but its workspace and the hash by which it is named.
bool is_issued_key(const std::string& name, const json& entity, base::sha256_digest& digest) {
  return entity.is_object() && entity.size() == 2 && entity.contains("workspace") &&
         entity["workspace"].is_string() &&
         !entity["workspace"].get_ref<const std::string&>().empty() && entity.contains("sha256") &&
         entity["sha256"] == name && base::parse_hex(name, digest) && base::to_hex(digest) == name;
}

json issued_key_json(const record& r) {
  return {{"workspace", r.value}, {"sha256", base::to_hex(r.name())}};
}

} // namespace

std::string record_id(record_kind kind, std::string_view name) {
  std::string out(1, static_cast<char>(kind));
  out.append(name);
  return out;
}

record make_record(record_kind kind, std::string_view name, const json& entity) {
  // Names may have any bytes until they are checked.
  return {record_id(kind, name), entity.dump(-1, ' ', false, json::error_handler_t::replace)};
}

record make_issued_key(const base::sha256_digest& sha256, std::string_view workspace) {
  return {record_id(record_kind::issued_key, base::bytes_of(sha256)), std::string(workspace)};
}

void normalize(record_list& records) {
  if (!std::ranges::is_sorted(records, {}, &record::id)) {
    std::ranges::stable_sort(records, {}, &record::id);
  }
  // From the back, the first record of each id is the one that stays.
  const auto removed = std::unique(records.rbegin(), records.rend(),
                                   [](const record& a, const record& b) { return a.id == b.id; });
  records.erase(records.begin(), removed.base());
}

record_list to_records(const json& document) {
  record_list out;
  for (const auto& [section, kind] : sections) {
    const auto it = document.find(section);
    if (it == document.end() || !it->is_object()) {
      continue;
    }
    for (const auto& [name, entity] : it->items()) {
      base::sha256_digest digest{};
      if (kind == record_kind::named_key && is_issued_key(name, entity, digest)) {
        out.push_back(make_issued_key(digest, entity["workspace"].get_ref<const std::string&>()));
      } else {
        out.push_back(make_record(kind, name, entity));
      }
    }
  }
  normalize(out);
  return out;
}

json to_json(std::span<const record> records) {
  auto out = json::object();
  for (const auto& r : records) {
    if (r.kind() == record_kind::issued_key) {
      out["keys"][base::to_hex(r.name())] = r.value.empty() ? json() : issued_key_json(r);
      continue;
    }
    const auto* section =
        std::ranges::find(sections, r.kind(), &std::pair<const char*, record_kind>::second);
    if (section != sections.end()) {
      out[section->first][std::string(r.name())] =
          r.value.empty() ? json() : json::parse(r.value, nullptr, false);
    }
  }
  return out;
}

record_list changes_between(std::span<const record> before, std::span<const record> after) {
  record_list out;
  auto old = before.begin();
  for (const auto& r : after) {
    for (; old != before.end() && old->id < r.id; ++old) {
      out.push_back({old->id, {}});
    }
    const bool is_known = old != before.end() && old->id == r.id;
    if (!is_known || old->value != r.value) {
      out.push_back(r);
    }
    old += is_known ? 1 : 0;
  }
  for (; old != before.end(); ++old) {
    out.push_back({old->id, {}});
  }
  return out;
}

record_list joined_changes(std::span<const record> older, std::span<const record> newer) {
  record_list out;
  out.reserve(older.size() + newer.size());
  // Of records with equal ids, set_union takes those of its first range.
  std::ranges::set_union(newer, older, std::back_inserter(out), {}, &record::id, &record::id);
  return out;
}

std::span<const record> records_of(std::span<const record> records, record_kind kind) {
  const auto first = std::ranges::lower_bound(records, kind, {}, &record::kind);
  return {first, std::ranges::upper_bound(records, kind, {}, &record::kind)};
}

const record* find_record(std::span<const record> records, std::string_view id) {
  const auto it = std::ranges::lower_bound(records, id, {}, &record::id);
  return it != records.end() && it->id == id ? &*it : nullptr;
}

std::size_t size_of(std::span<const record> records) noexcept {
  std::size_t out = 0;
  for (const auto& r : records) {
    out += r.id.size() + r.value.size();
  }
  return out;
}

} // namespace kingcupshunt::config
