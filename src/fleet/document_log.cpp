#include "kingcupshunt/fleet/document_log.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/fleet/packed_document.h"

namespace kingcupshunt::fleet {

namespace {

constexpr base::seconds named_number_retention{2}; // entries query every 500 ms; some get lost
constexpr std::size_t part_bytes = 512U << 10U;
/// A document, the parts of another one, and the evacuations.
constexpr std::size_t max_snapshot_bytes = 2 * max_document_bytes + (64U << 10U);
/// Greatest text of a document in one entry, which every build applies.
constexpr std::size_t max_whole_bytes = consensus::max_payload_bytes - 256;

std::string hash_of(std::string_view text) {
  return std::string(base::bytes_of(base::sha256(text)));
}

consensus::replica_settings with_parts(consensus::replica_settings settings) {
  settings.format = format_with_parts;
  settings.max_snapshot_bytes = max_snapshot_bytes;
  return settings;
}

/// Payloads of the entries that hold the document.
std::vector<std::string> payloads_of(const versioned_document& document) {
  if (document.text.size() <= max_whole_bytes) {
    return {peer::pack(document)};
  }
  const auto hash = hash_of(document.text);
  const auto count = (document.text.size() + part_bytes - 1) / part_bytes;
  std::vector<std::string> out;
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back(peer::pack(part_entry{{document.version, static_cast<std::uint32_t>(i),
                                         static_cast<std::uint32_t>(count), hash,
                                         document.text.substr(i * part_bytes, part_bytes)}}));
  }
  return out;
}

} // namespace

document_log::document_log(consensus::replica_settings settings, document_log_hooks hooks,
                           consensus::recovered_state recovered, base::time_point now)
    : hooks_(std::move(hooks)), replica_(with_parts(std::move(settings)), replica_hooks_for(hooks_),
                                         std::move(recovered), now) {}

consensus::replica_hooks document_log::replica_hooks_for(document_log_hooks& hooks) {
  consensus::replica_hooks out;
  out.send = hooks.send;
  out.persist = hooks.persist;
  out.save_snapshot = hooks.save_snapshot;
  out.apply = [this](const consensus::entry& e) { on_entry(e); };
  out.take_snapshot = [this] {
    return peer::pack(register_content{current_.version, current_.text, evacuations_, assembled_});
  };
  out.restore = [this](std::uint64_t, std::string_view data) {
    if (auto restored = peer::unpack<register_content>(data)) {
      assembled_ = std::exchange(restored->part, {});
      take(std::move(*restored));
    }
  };
  out.on_role = [this] { on_role_change(); };
  return out;
}

/// The higher number wins for the evacuations too: a snapshot of a build without them has none.
void document_log::take(register_content content) {
  if (content.version > current_.version) {
    current_ = {content.version, std::move(content.text)};
    hooks_.on_document(current_);
  }
  if (content.evacuations.number > evacuations_.number) {
    evacuations_ = std::move(content.evacuations);
    if (hooks_.on_evacuations) {
      hooks_.on_evacuations(evacuations_);
    }
  }
}

/// The leader writes the parts of a document one after another. Those that a former leader has left
/// unfinished are never completed; the author sends the document again.
void document_log::take_part(document_part part) {
  const bool is_next = part.number != 0 && part.number == assembled_.number + 1 &&
                       part.version == assembled_.version && part.hash == assembled_.hash &&
                       part.count == assembled_.count;
  if (part.number == 0) {
    assembled_ = std::move(part);
  } else if (is_next && part.text.size() <= max_document_bytes - assembled_.text.size()) {
    assembled_.number = part.number;
    assembled_.text += part.text;
  } else {
    assembled_ = {};
  }
  if (assembled_.version == 0 || assembled_.number + 1 != assembled_.count) {
    return;
  }
  auto whole = std::exchange(assembled_, {});
  if (hash_of(whole.text) == whole.hash) {
    register_content content;
    content.version = whole.version;
    content.text = std::move(whole.text);
    take(std::move(content));
  }
}

void document_log::wait_for(std::uint64_t index, std::function<void(bool)> done) {
  // A single voter commits within propose().
  if (replica_.applied_index() >= index) {
    done(true);
    return;
  }
  pending_.emplace(index, waiting{replica_.term(), std::move(done)});
}

void document_log::propose(const versioned_document& document, std::function<void(bool)> done,
                           base::time_point now) {
  if (document.version <= current_.version) {
    done(true); // applied documents are committed
    return;
  }
  if (!replica_.is_ready()) {
    done(false);
    return;
  }
  auto payloads = payloads_of(document);
  if (payloads.size() > 1 && replica_.least_format() < format_with_parts) {
    done(false);
    return;
  }
  const auto index = replica_.propose_all(std::move(payloads), now);
  if (!index) {
    done(false);
    return;
  }
  wait_for(index.value(), std::move(done));
}

void document_log::order(const evacuation_order& order, std::function<void(order_result)> done,
                         base::time_point now) {
  const bool is_set_missing = evacuations_.number < named_number_ && now < named_until_;
  if (!replica_.is_ready() || is_set_missing) {
    done(order_result::unknown);
    return;
  }
  const bool is_proposed =
      proposed_.term == replica_.term() && proposed_.index > replica_.applied_index();
  const auto& base = is_proposed ? proposed_.set : evacuations_;
  // Without a known set, other voters may hold one that this instance lost in the former build.
  const bool is_in_force = base.number != 0 && base.contains(order.data_centre) == order.is_start;
  const bool is_too_many =
      !is_in_force && order.is_start && base.data_centres.size() >= max_evacuations;
  auto finish = [is_too_many, done = std::move(done)](bool is_confirmed) {
    const auto result = is_too_many ? order_result::too_many : order_result::accepted;
    done(is_confirmed ? result : order_result::unknown);
  };
  if (is_in_force || is_too_many) {
    if (is_proposed) {
      wait_for(proposed_.index, std::move(finish));
    } else {
      // A leader that was replaced without knowing it may have missed other orders.
      replica_.read_index(std::move(finish), now);
    }
    return;
  }
  auto next = after(base, order);
  const auto index = replica_.propose(peer::pack(evacuation_entry{next}), now);
  if (!index) {
    finish(false);
    return;
  }
  proposed_ = {replica_.term(), index.value(), std::move(next)};
  wait_for(index.value(), std::move(finish));
}

void document_log::note_evacuations(std::uint64_t number, base::time_point now) {
  if (number > evacuations_.number) {
    named_number_ = now < named_until_ ? std::max(named_number_, number) : number;
    named_until_ = now + named_number_retention;
  }
}

void document_log::on_entry(const consensus::entry& e) {
  // A callback may lead to a compaction or truncation of the log, which owns the entry.
  const auto index = e.index;
  const auto term = e.term;
  if (auto content = peer::unpack<register_content>(e.payload)) {
    if (content->evacuations.number != 0) {
      // A leader whose own set is missing or older could count up to a number already used.
      content->evacuations.number = index;
    }
    if (content->part.version != 0) {
      take_part(std::move(content->part));
    } else {
      take(std::move(*content));
    }
  }
  for (auto it = pending_.find(index); it != pending_.end(); it = pending_.find(index)) {
    const auto waiter = std::move(it->second);
    pending_.erase(it);
    waiter.done(waiter.term == term);
  }
}

void document_log::on_role_change() {
  if (!replica_.is_leader()) {
    for (auto& [index, waiter] : std::exchange(pending_, {})) {
      waiter.done(false);
    }
  }
  if (hooks_.on_role) {
    hooks_.on_role();
  }
}

void document_log::read(std::function<void(const versioned_document*)> done, base::time_point now) {
  replica_.read_index(
      [this, done = std::move(done)](bool is_newest) { done(is_newest ? &current_ : nullptr); },
      now);
}

} // namespace kingcupshunt::fleet
