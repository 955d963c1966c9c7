#include "kingcupshunt/fleet/document_log.h"

#include <utility>
#include <vector>

namespace kingcupshunt::fleet {

document_log::document_log(consensus::replica_settings settings, document_log_hooks hooks,
                           consensus::recovered_state recovered, base::time_point now)
    : hooks_(std::move(hooks)),
      replica_(std::move(settings), replica_hooks_for(hooks_), std::move(recovered), now) {}

consensus::replica_hooks document_log::replica_hooks_for(document_log_hooks& hooks) {
  consensus::replica_hooks out;
  out.send = hooks.send;
  out.persist = hooks.persist;
  out.save_snapshot = hooks.save_snapshot;
  out.apply = [this](const consensus::entry& e) { on_entry(e); };
  out.take_snapshot = [this] { return peer::pack(current_); };
  out.restore = [this](std::uint64_t, std::string_view data) {
    auto restored = peer::unpack<versioned_document>(data);
    if (restored && restored->version > current_.version) {
      current_ = std::move(*restored);
      hooks_.on_document(current_);
    }
  };
  out.on_role = [this] { on_role_change(); };
  return out;
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
  const auto index = replica_.propose(peer::pack(document), now);
  if (!index) {
    done(false);
    return;
  }
  // A single voter commits within propose().
  if (replica_.applied_index() >= index.value()) {
    done(true);
    return;
  }
  pending_[index.value()] = {replica_.term(), std::move(done)};
}

void document_log::on_entry(const consensus::entry& e) {
  auto document = peer::unpack<versioned_document>(e.payload);
  if (document && document->version > current_.version) {
    current_ = std::move(*document);
    hooks_.on_document(current_);
  }
  const auto it = pending_.find(e.index);
  if (it != pending_.end()) {
    const auto waiter = std::move(it->second);
    pending_.erase(it);
    waiter.done(waiter.term == e.term);
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
