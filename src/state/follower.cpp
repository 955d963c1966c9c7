#include "kingcupshunt/state/follower.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::state {

namespace {

// Peers remembered that reported a greater revision.
constexpr std::size_t max_sources = 8;

} // namespace

follower::follower(follower_settings settings, follower_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)),
      ring_(settings_.max_deltas, settings_.max_delta_bytes, settings_.answer_bytes) {}

void follower::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                       base::time_point now) {
  if (kind == peer::message_kind::state_fetch_delta) {
    if (const auto m = peer::unpack<fetch_message>(body)) {
      on_fetch(from, *m, now);
      return;
    }
  } else if (kind == peer::message_kind::state_delta) {
    if (auto m = peer::unpack<delta_message>(body)) {
      on_deltas(from, std::move(*m), now);
      return;
    }
  }
  ++malformed_;
}

void follower::require(std::uint64_t revision) noexcept {
  if (!has_target_) {
    has_target_ = true;
    target_ = revision;
  }
}

void follower::tick(base::time_point now) {
  if (call_id_ != 0 && now - asked_at_ >= settings_.fetch_timeout) {
    call_id_ = 0;
    fetch(now);
  }
  if (image_ && now - image_asked_at_ >= settings_.image_kept) {
    image_.reset();
  }
}

void follower::on_behind(std::string_view peer, std::uint64_t revision, base::time_point now) {
  if (revision <= revision_) {
    return;
  }
  if (sources_.size() < max_sources || sources_.contains(std::string(peer))) {
    auto& reported = sources_[std::string(peer)];
    reported = std::max(reported, revision);
  }
  if (call_id_ == 0) {
    fetch(now);
  }
}

// Takes the peers in turn, so that one that does not answer delays only one round.
std::string follower::next_source() {
  std::erase_if(sources_, [&](const auto& s) { return s.second <= revision_; });
  if (sources_.empty()) {
    return {};
  }
  auto it = sources_.upper_bound(source_);
  if (it == sources_.end()) {
    it = sources_.begin();
  }
  return it->first;
}

void follower::fetch(base::time_point now) {
  const auto next = next_source();
  if (next != source_) {
    incoming_.clear();
    incoming_revision_ = 0;
  }
  source_ = next;
  if (!next.empty()) {
    ask(next, now);
  }
}

void follower::ask(const std::string& peer, base::time_point now) {
  source_ = peer;
  call_id_ = next_call_++;
  asked_at_ = now;
  const fetch_message m{call_id_, revision_, wants_image_, incoming_revision_, incoming_.size()};
  hooks_.send(peer, peer::message_kind::state_fetch_delta, peer::pack(m));
}

// An older image serves as long as the deltas after it are here, so that many instances that start
// together share one.
bool follower::can_serve_image(const fetch_message& m) const noexcept {
  return image_ && image_revision_ >= m.revision &&
         (image_revision_ == m.image_revision || image_revision_ == revision_ ||
          ring_.reaches(image_revision_));
}

void follower::on_fetch(std::string_view from, const fetch_message& m, base::time_point now) {
  delta_message out;
  out.call_id = m.call_id;
  out.revision = revision_;
  const bool has_newer = revision_ > m.revision || (m.is_image && revision_ == m.revision);
  auto deltas = ring_.after(m.revision, settings_.answer_bytes);
  if (has_newer && !m.is_image && m.image_revision == 0 && deltas) {
    out.deltas = std::move(*deltas);
  } else if (has_newer) {
    if (!can_serve_image(m)) {
      image_ = std::make_shared<const std::string>(
          peer::pack(image{revision_, hooks_.make_config(), view_, former_view_}));
      image_revision_ = revision_;
    }
    image_asked_at_ = now;
    out.image_revision = image_revision_;
    out.image_size = image_->size();
    out.offset = m.image_revision == image_revision_ ? std::min(m.offset, out.image_size) : 0;
    out.chunk = image_->substr(out.offset, settings_.answer_bytes);
  }
  hooks_.send(from, peer::message_kind::state_delta, peer::pack(out));
}

void follower::on_deltas(std::string_view from, delta_message m, base::time_point now) {
  const bool is_pushed = m.call_id == 0;
  if (!is_pushed && m.call_id != call_id_) {
    return; // answer to a fetch that was given up
  }
  if (m.image_revision != 0) {
    on_chunk(from, m, now);
    return;
  }
  for (auto& d : m.deltas) {
    take(std::move(d), is_pushed ? m.root : "");
  }
  if (is_pushed) {
    if (!early_.empty()) {
      on_behind(from, early_.rbegin()->first, now);
    }
    return;
  }
  call_id_ = 0;
  if (m.deltas.empty()) {
    sources_.erase(std::string(from)); // it has nothing newer, whatever was reported
  }
  on_behind(from, m.revision, now);
  if (call_id_ == 0) {
    fetch(now); // another peer reported an even greater revision
  }
}

void follower::on_chunk(std::string_view from, const delta_message& m, base::time_point now) {
  if (m.image_size > settings_.max_image_bytes) {
    ++malformed_;
    return;
  }
  call_id_ = 0;
  if (m.image_revision <= revision_ && !wants_image_) {
    fetch(now); // pushed deltas were faster
    return;
  }
  if (m.image_revision != incoming_revision_) {
    incoming_revision_ = m.image_revision;
    incoming_.clear();
  }
  if (m.offset == incoming_.size()) {
    incoming_ += m.chunk;
  }
  if (incoming_.size() < m.image_size) {
    ask(std::string(from), now); // the rest of its image
    return;
  }
  const auto whole = peer::unpack<image>(std::exchange(incoming_, {}));
  incoming_revision_ = 0;
  if (!whole || !take_image(*whole)) {
    ++malformed_;
    sources_.erase(std::string(from));
    fetch(now);
    return;
  }
  on_behind(from, m.revision, now);
  if (call_id_ == 0) {
    fetch(now);
  }
}

void follower::take(delta d, const std::string& root) {
  if (d.revision <= revision_) {
    return;
  }
  if (d.revision > revision_ + 1) {
    if (early_.size() < settings_.max_early) {
      if (!root.empty() && !early_.contains(d.revision) && hooks_.on_pushed) {
        hooks_.on_pushed(root, d);
      }
      early_.emplace(d.revision, std::move(d));
    }
    return;
  }
  // Passed on first: the instances below need not wait for this one.
  if (!root.empty() && hooks_.on_pushed) {
    hooks_.on_pushed(root, d);
  }
  if (put_in_force(d)) {
    take_early();
  }
}

bool follower::put_in_force(const delta& d) {
  if (wants_image_ || !hooks_.on_delta(d)) {
    wants_image_ = true;
    return false;
  }
  revision_ = d.revision;
  if (d.view.version != 0) {
    former_view_ = view_;
    apply_view_change(view_, d.view);
  }
  ring_.push(d);
  return true;
}

void follower::take_early() {
  while (!early_.empty() && early_.begin()->first <= revision_ + 1) {
    const auto d = std::move(early_.begin()->second);
    early_.erase(early_.begin());
    if (d.revision == revision_ + 1 && !put_in_force(d)) {
      return;
    }
  }
}

bool follower::take_image(const image& i) {
  if (i.revision < revision_ || (i.revision == revision_ && !wants_image_)) {
    return true;
  }
  if (!hooks_.on_image(i)) {
    return false;
  }
  ++images_taken_;
  wants_image_ = false;
  revision_ = i.revision;
  view_ = i.view;
  former_view_ = i.former_view;
  ring_.clear();
  take_early();
  return true;
}

void follower::apply_local(const delta& d, base::time_point) {
  take(d, "");
}

void follower::replace_local(const image& i, base::time_point) {
  take_image(i);
}

} // namespace kingcupshunt::state
