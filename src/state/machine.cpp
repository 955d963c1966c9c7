#include "kingcupshunt/state/machine.h"

#include <algorithm>
#include <set>
#include <utility>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/config/error.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::state {

namespace {

// A kept answer must stay small; the position stands at the front of a description.
constexpr std::size_t max_detail_bytes = 2000;

command_result result_of(outcome code) {
  command_result out;
  out.code = code;
  return out;
}

struct saved_machine {
  config::files files;
  membership::fleet_view view;
  membership::fleet_view former_view;
  std::uint64_t revision = 0;
  std::uint64_t files_revision = 0;
  std::string files_author;
  std::uint64_t view_revision = 0;
  std::string view_author;
  std::uint64_t time_ms = 0;
  std::vector<request_table::record> requests;
  std::vector<reservation_table::saved_record> reservations;

  MSGPACK_DEFINE_MAP(files, view, former_view, revision, files_revision, files_author,
                     view_revision, view_author, time_ms, requests, reservations)
};

template <class T>
command_result with_command(const std::string& body,
                            const std::function<command_result(const T&)>& run) {
  const auto c = peer::unpack<T>(body);
  return c ? run(*c) : result_of(outcome::malformed);
}

} // namespace

machine::machine(machine_settings settings, std::function<void(const delta&)> on_delta)
    : settings_(settings), on_delta_(std::move(on_delta)), requests_(settings.requests),
      reservations_(settings.reservations) {}

command_result machine::apply(std::string_view payload) {
  const auto c = peer::unpack<command>(payload);
  if (!c) {
    return result_of(outcome::malformed);
  }
  time_ms_ = std::max(time_ms_, c->time_ms);
  requests_.expire(time_ms_);
  reservations_.expire(time_ms_);
  const auto reserved = [&](const auto& r) { return reservations_.apply(r, time_ms_); };
  switch (c->kind) {
  case command_kind::change_files:
    return with_command<change_files>(c->body, [&](const change_files& change) {
      return apply_once(change.request_id, c->body, [&] { return run(change); });
    });
  case command_kind::set_view:
    return with_command<set_view>(c->body, [&](const set_view& change) {
      return apply_once(change.request_id, c->body, [&] { return run(change); });
    });
  case command_kind::reserve:
    return with_command<reserve>(c->body, reserved);
  case command_kind::complete:
    return with_command<complete>(c->body, reserved);
  case command_kind::release:
    return with_command<release>(c->body, reserved);
  }
  return result_of(outcome::malformed);
}

command_result machine::apply_once(const std::string& id, std::string_view body,
                                   const std::function<command_result()>& run) {
  if (id.empty()) {
    return result_of(outcome::malformed);
  }
  const auto content = base::hash64(body);
  bool is_other = false;
  if (const auto* first = requests_.find(id, content, is_other)) {
    return is_other ? result_of(outcome::request_id_reused) : *first;
  }
  if (requests_.is_full()) {
    return result_of(outcome::full);
  }
  auto out = run();
  requests_.keep(id, content, out, time_ms_);
  return out;
}

bool machine::is_within_bounds(const change_files& c) const {
  auto bytes = document_.bytes();
  auto count = document_.files().size();
  for (const auto& [name, content] : c.changed) {
    bytes += content.size();
    const auto old = document_.files().find(name);
    if (old == document_.files().end()) {
      ++count;
    } else {
      bytes -= old->second.size();
    }
  }
  return bytes <= settings_.max_folder_bytes && count <= settings_.max_files;
}

command_result machine::run(const change_files& c) {
  // A change of the view also raises the revision but does not conflict with one of the files.
  if (c.base_revision < files_revision_ || c.base_revision > revision_) {
    auto out = result_of(outcome::conflict);
    out.revision = files_revision_;
    out.author = files_author_;
    return out;
  }
  if (!is_within_bounds(c)) {
    return result_of(outcome::too_large);
  }
  document::changes change;
  for (const auto& [name, content] : c.changed) {
    change.emplace(name, &content);
  }
  std::size_t removed = 0;
  for (const auto& name : c.removed) {
    removed += document_.files().contains(name) && change.emplace(name, nullptr).second ? 1 : 0;
  }
  if (c.changed.empty() && removed > 0 && removed == document_.files().size()) {
    return result_of(outcome::removes_all);
  }
  auto applied = document_.apply(change);
  if (!applied) {
    auto out = result_of(outcome::invalid);
    out.detail = config::describe(applied.error()).substr(0, max_detail_bytes);
    return out;
  }
  auto out = result_of(outcome::accepted);
  if (!change.empty()) {
    files_revision_ = ++revision_;
    files_author_ = c.author;
    if (on_delta_) {
      delta d;
      d.revision = revision_;
      d.config = applied.value().empty() ? "" : applied.value().dump();
      on_delta_(d);
    }
  }
  out.revision = revision_;
  return out;
}

command_result machine::run(const set_view& c) {
  if (c.base_version != view_.version) {
    auto out = result_of(outcome::conflict);
    out.revision = view_revision_;
    out.version = view_.version;
    out.author = view_author_;
    return out;
  }
  if (c.held_version != view_.version) {
    return result_of(outcome::view_not_settled);
  }
  if (c.members.size() > settings_.max_members) {
    return result_of(outcome::too_large);
  }
  membership::fleet_view next;
  next.version = view_.version + 1;
  next.members = c.members;
  std::ranges::sort(next.members, {}, &membership::fleet_member::id);
  const auto same = std::ranges::adjacent_find(next.members, {}, &membership::fleet_member::id);
  if (next.members.empty() || same != next.members.end()) {
    auto out = result_of(outcome::invalid);
    out.detail = next.members.empty() ? "the view has no member" : "two members are " + same->id;
    return out;
  }
  delta d;
  d.revision = ++revision_;
  d.view = make_view_change(view_, next);
  former_view_ = std::exchange(view_, std::move(next));
  view_revision_ = revision_;
  view_author_ = c.author;
  if (on_delta_) {
    on_delta_(d);
  }
  auto out = result_of(outcome::accepted);
  out.revision = revision_;
  out.version = view_.version;
  return out;
}

std::string machine::save() const {
  return peer::pack(saved_machine{document_.files(), view_, former_view_, revision_,
                                  files_revision_, files_author_, view_revision_, view_author_,
                                  time_ms_, requests_.save(), reservations_.save()});
}

bool machine::restore(std::string_view data) {
  auto saved = peer::unpack<saved_machine>(data);
  if (!saved) {
    return false;
  }
  document restored;
  document::changes all;
  for (const auto& [name, content] : saved->files) {
    all.emplace(name, &content);
  }
  if (!restored.apply(all)) {
    return false;
  }
  document_ = std::move(restored);
  view_ = std::move(saved->view);
  former_view_ = std::move(saved->former_view);
  revision_ = saved->revision;
  files_revision_ = saved->files_revision;
  files_author_ = std::move(saved->files_author);
  view_revision_ = saved->view_revision;
  view_author_ = std::move(saved->view_author);
  time_ms_ = saved->time_ms;
  requests_.load(std::move(saved->requests));
  reservations_.load(std::move(saved->reservations));
  return true;
}

image machine::make_image() const {
  return {revision_, document_.merged().dump(), view_, former_view_};
}

} // namespace kingcupshunt::state
