#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/consensus/replica.h"
#include "kingcupshunt/fleet/evacuation.h"

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
  bool is_too_large = false; ///< valid, but beyond what every instance can hold
};

template <class T>
using document_result = base::result<T, document_error>;

/// Part of a document that is too long for one entry of the log. The parts of a document follow one
/// another in the log, and the last one puts it in force. In a snapshot: the parts applied so far.
struct document_part {
  std::uint64_t version = 0; ///< 0: none
  std::uint32_t number = 0;  ///< from 0; in a snapshot, of the last part that it has
  std::uint32_t count = 0;   ///< parts of the document
  std::string hash;          ///< SHA-256 of its text
  std::string text;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("v", version), MSGPACK_NVP("i", number), MSGPACK_NVP("n", count),
                     MSGPACK_NVP("x", hash), MSGPACK_NVP("t", text))
};

/// State of the register: content of its snapshots, and of an entry that is decoded. An entry has
/// the first two members, or one of the others, and the other members keep their defaults.
/// A build that knows documents only skips the others, and takes an entry without `version` for
/// one that is overtaken.
struct register_content {
  std::uint64_t version = 0;
  std::string text;
  evacuation_set evacuations;
  document_part part{};

  MSGPACK_DEFINE_MAP(version, text, evacuations, part)
};

/// Log entry that holds a part of a document.
struct part_entry {
  document_part part;

  MSGPACK_DEFINE_MAP(part)
};

/// Format of commands (see consensus::replica_settings) of builds that apply parts of documents.
inline constexpr std::uint32_t format_with_parts = 1;

/// Log entry that replaces the evacuations. Holds the whole set, so that an instance whose state
/// was restored from a snapshot without it has the right set again after the next order.
struct evacuation_entry {
  evacuation_set evacuations;

  MSGPACK_DEFINE_MAP(evacuations)
};

/// Result of an evacuation order.
enum class order_result : std::uint8_t {
  accepted, ///< a majority of the voters holds it
  unknown,  ///< may or may not take effect: not the leader, or it lost its leadership
  too_many  ///< refused: max_evacuations data centres are evacuated
};

struct document_log_hooks {
  peer::send_function send;
  std::function<void(consensus::write_batch)> persist;
  std::function<void(const consensus::snapshot&)> save_snapshot;
  /// A newer document has been committed. Called on every voter and once after a restart.
  std::function<void(const versioned_document&)> on_document;
  /// A newer set of evacuations has been committed. Called as `on_document` is; may be empty.
  std::function<void(const evacuation_set&)> on_evacuations;
  std::function<void()> on_role; ///< role, term or leader changed; may be empty
};

/// Replicated register of the document with the highest version, and of the evacuations.
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
  /// outcome is unknown. Only the leader accepts; other instances call `done(false)` at once. So
  /// does the leader for a document that takes several entries while an instance answers it whose
  /// build would not apply them.
  void propose(const versioned_document& document, std::function<void(bool)> done,
               base::time_point now);

  /// Orders or withdraws an evacuation. An order that is in force already is accepted again, once
  /// it is certain that this instance still leads. Orders take effect in the order in which they
  /// reach the leader.
  void order(const evacuation_order& order, std::function<void(order_result)> done,
             base::time_point now);

  /// An entry has named the number of its evacuations. While one names a higher number than that of
  /// this instance, whose own set may be missing, orders are answered as unknown.
  void note_evacuations(std::uint64_t number, base::time_point now);

  /// Linearizable read: calls `done` with the newest document, or null when this instance can't
  /// confirm that its document is the newest.
  void read(std::function<void(const versioned_document*)> done, base::time_point now);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now) {
    replica_.receive(from, kind, body, now);
  }
  void tick(base::time_point now) { replica_.tick(now); }

  const versioned_document& current() const noexcept { return current_; }
  const evacuation_set& evacuations() const noexcept { return evacuations_; }
  consensus::replica& log() noexcept { return replica_; }
  const consensus::replica& log() const noexcept { return replica_; }

private:
  struct waiting {
    std::uint64_t term = 0;
    std::function<void(bool)> done;
  };

  /// The last set that this instance proposed; later orders build on it until it is applied.
  struct proposed_set {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    evacuation_set set;
  };

  consensus::replica_hooks replica_hooks_for(document_log_hooks& hooks);
  void on_entry(const consensus::entry& e);
  void on_role_change();
  void take(register_content content);
  void take_part(document_part part);
  void wait_for(std::uint64_t index, std::function<void(bool)> done);

  document_log_hooks hooks_;
  versioned_document current_;
  evacuation_set evacuations_;
  document_part assembled_; ///< parts applied so far of a document that is not complete
  proposed_set proposed_;
  std::uint64_t named_number_ = 0; ///< highest one that an entry named before named_until_
  base::time_point named_until_{};
  std::multimap<std::uint64_t, waiting> pending_; ///< by log index
  consensus::replica replica_;                    ///< last member: its constructor calls the hooks
};

} // namespace kingcupshunt::fleet
