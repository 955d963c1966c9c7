#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::fleet {

/// A configuration as its author sent it, under a version that the author chose.
struct versioned_document {
  std::uint64_t version = 0; ///< 0: none yet
  std::string text;

  MSGPACK_DEFINE_MAP(version, text)
};

/// Human-readable description of what is invalid in the text of a document.
struct document_error {
  std::string message;
};

template <class T>
using document_result = base::result<T, document_error>;

struct document_log_hooks {
  peer::send_function send;
  std::function<void(consensus::write_batch)> persist;
  std::function<void(const consensus::snapshot&)> save_snapshot;
  /// A newer document has been committed. Called on every voter and once after a restart.
  std::function<void(const versioned_document&)> on_document;
  std::function<void()> on_role; ///< role, term or leader changed; may be empty
};

/// Replicated register of the document with the highest version.
///
/// A document is accepted once a majority of the voters holds it, also when a higher version has
/// been committed before it. Of two documents with the same version the earlier one in the log
/// takes effect.
class document_log {
public:
  document_log(consensus::replica_settings settings, document_log_hooks hooks,
               consensus::recovered_state recovered, base::time_point now);
  document_log(const document_log&) = delete;
  document_log& operator=(const document_log&) = delete;

  /// Calls `done(true)` once the document or a higher version is committed, `done(false)` when the
  /// outcome is unknown. Only the leader accepts; other instances call `done(false)` at once.
  void propose(const versioned_document& document, std::function<void(bool)> done,
               base::time_point now);

  /// Linearizable read: calls `done` with the newest document, or null when this instance can't
  /// confirm that its document is the newest.
  void read(std::function<void(const versioned_document*)> done, base::time_point now);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now) {
    replica_.receive(from, kind, body, now);
  }
  void tick(base::time_point now) { replica_.tick(now); }

  const versioned_document& current() const noexcept { return current_; }
  consensus::replica& log() noexcept { return replica_; }
  const consensus::replica& log() const noexcept { return replica_; }

private:
  struct waiting {
    std::uint64_t term = 0;
    std::function<void(bool)> done;
  };

  consensus::replica_hooks replica_hooks_for(document_log_hooks& hooks);
  void on_entry(const consensus::entry& e);
  void on_role_change();

  document_log_hooks hooks_;
  versioned_document current_;
  std::map<std::uint64_t, waiting> pending_; ///< by log index
  consensus::replica replica_;               ///< last member: its constructor calls the hooks
};

} // namespace kingcupshunt::fleet
