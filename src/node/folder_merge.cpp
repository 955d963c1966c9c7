#include "kingcupshunt/node/folder_merge.h"

#include <set>

#include <nlohmann/json.hpp>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::node {

namespace {

using nlohmann::json;

// Digest of a file, or an empty string when there is none.
std::string find_digest(const file_digests& all, const std::string& name) {
  const auto it = all.find(name);
  return it == all.end() ? std::string{} : it->second;
}

std::string digest_in(const config::files& all, const std::string& name) {
  const auto it = all.find(name);
  return it == all.end() ? std::string{} : base::to_hex(base::sha256(it->second));
}

void assign(file_digests& all, const std::string& name, const std::string& digest) {
  if (digest.empty()) {
    all.erase(name);
  } else {
    all[name] = digest;
  }
}

// A holder without memory can't tell old content from new. When the fleet has files, it takes the
// folder as seen and proposes only later changes.
folder_plan adopt(const config::files& folder) {
  folder_plan plan;
  plan.next.is_known = true;
  plan.next.seen = digest_files(folder);
  return plan;
}

void plan_file(folder_plan& plan, const folder_base& base, const config::files& folder,
               const config::files& fleet, const std::string& name) {
  const auto now = digest_in(folder, name);
  const auto seen = find_digest(base.seen, name);
  const auto fleet_now = digest_in(fleet, name);
  const auto rejected = base.rejected.find(name);
  const bool was_rejected = rejected != base.rejected.end();
  if (was_rejected ? rejected->second == now : seen == now) {
    return;
  }
  if (now == fleet_now) {
    assign(plan.next.seen, name, now);
    plan.next.rejected.erase(name);
    return;
  }
  // After a conflict was reported, a further edit is made in knowledge of the fleet's content.
  if (!was_rejected && fleet_now != seen) {
    plan.conflicts.push_back({name});
    plan.next.rejected[name] = now;
    return;
  }
  plan.next.rejected.erase(name);
  assign(plan.next.seen, name, now);
  if (now.empty()) {
    plan.removed.push_back(name);
  } else {
    plan.changed[name] = folder.at(name);
  }
}

} // namespace

file_digests digest_files(const config::files& files) {
  file_digests out;
  for (const auto& [name, text] : files) {
    out[name] = base::to_hex(base::sha256(text));
  }
  return out;
}

std::string to_text(const folder_base& base) {
  return json{{"seen", base.seen}, {"rejected", base.rejected}}.dump(2);
}

std::optional<folder_base> parse_folder_base(const std::string& text) {
  const auto parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("seen") || !parsed.contains("rejected")) {
    return std::nullopt;
  }
  try {
    folder_base out;
    out.seen = parsed["seen"].get<file_digests>();
    out.rejected = parsed["rejected"].get<file_digests>();
    out.is_known = true;
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

folder_plan plan_change(const folder_base& base, const config::files& folder,
                        const config::files& fleet) {
  if (!base.is_known && !fleet.empty()) {
    return adopt(folder);
  }
  folder_plan plan;
  plan.next = base;
  plan.next.is_known = true;
  if (folder.empty() && !base.seen.empty()) {
    plan.removes_everything = true;
    plan.next = base;
    return plan;
  }
  std::set<std::string> names;
  for (const auto& [name, text] : folder) {
    names.insert(name);
  }
  for (const auto& [name, digest] : base.seen) {
    names.insert(name);
  }
  for (const auto& [name, digest] : base.rejected) {
    names.insert(name);
  }
  for (const auto& name : names) {
    plan_file(plan, base, folder, fleet, name);
  }
  return plan;
}

} // namespace kingcupshunt::node
