#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/fleet/packed_document.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::fleet {

struct document_fetcher_settings {
  std::string self;                                 ///< id of this instance
  base::duration timeout = base::milliseconds(600); ///< for the answer to one request
};

struct document_fetcher_hooks {
  peer::send_function send;
  std::function<void(std::string_view event, std::string_view detail)> log; ///< may be empty
};

/// How a document was fetched, for the log.
struct fetch_course {
  base::time_point asked_at{}; ///< for the first time
  base::time_point first_at{}; ///< its first piece came
  base::time_point whole_at{};
  std::size_t requests = 0;
  std::size_t pieces = 0;
};

/// A document that is complete, and its hash agrees.
struct fetched_document {
  packed_document document;
  std::uint64_t applied = 0;     ///< see document_piece
  std::uint64_t evacuations = 0; ///< see document_piece
  fetch_course course;
};

/// Fetches the newest document from the control instances, one piece after another. After a cut it
/// goes on where it was, at the same control instance or at another one.
class document_fetcher {
public:
  document_fetcher(document_fetcher_settings settings, document_fetcher_hooks hooks);

  /// `control` has this version.
  void note(std::string_view control, std::uint64_t version);

  /// Asks for a version that is newer than the one held, and again when an answer is overdue.
  void tick(std::uint64_t held, base::time_point now);

  /// Takes a piece, and asks for the next one. The document once it is complete.
  std::optional<fetched_document> receive(std::string_view from, const document_piece& piece,
                                          std::uint64_t held, base::time_point now);

  /// Another document than the one that is fetched was put in force.
  void reset();

  /// A complete document can't be put in force.
  void reject(base::time_point now);

  /// Forgets a control instance that is no longer known.
  void forget(std::string_view control);

private:
  bool is_waiting() const noexcept { return answer_until_ != base::time_point{}; }
  bool is_acceptable(const document_piece& piece, std::uint64_t held) const;
  std::string choose_source(std::uint64_t held) const;
  void ask(const std::string& control, std::uint64_t held, base::time_point now);
  void ask_next(std::uint64_t held, base::time_point now);
  void start_over();
  void log(std::string_view event, const std::string& detail) const;

  document_fetcher_settings settings_;
  document_fetcher_hooks hooks_;
  std::map<std::string, std::uint64_t, std::less<>> versions_; ///< control instance to its version
  std::set<std::string, std::less<>> passed_over_;             ///< asked in vain for this document
  packed_document fetched_;                                    ///< `bytes` grows
  std::uint64_t size_ = 0;          ///< of `fetched_.bytes` when it is complete
  fetch_course course_;             ///< of `fetched_`
  std::string source_;              ///< asked last
  base::time_point answer_until_{}; ///< default: nothing is asked
  base::time_point pause_until_{};
};

} // namespace kingcupshunt::fleet
