#include "kingcupshunt/fleet/document_fetcher.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

constexpr base::seconds rejection_pause{1}; // a document that can't be read is fetched again

} // namespace

document_fetcher::document_fetcher(document_fetcher_settings settings, document_fetcher_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void document_fetcher::log(std::string_view event, const std::string& detail) const {
  if (hooks_.log) {
    hooks_.log(event, detail);
  }
}

void document_fetcher::note(std::string_view control, std::uint64_t version) {
  auto it = versions_.find(control);
  if (it == versions_.end()) {
    it = versions_.emplace(std::string(control), 0).first;
  }
  it->second = std::max(it->second, version);
}

void document_fetcher::tick(std::uint64_t held, base::time_point now) {
  if (is_waiting() && now >= answer_until_) {
    passed_over_.insert(source_);
    ask_next(held, now);
  } else if (!is_waiting() && now >= pause_until_) {
    ask_next(held, now);
  }
}

/// Control instances that have the version that is being fetched, or a newer one while none is.
/// Each entry chooses others, so that they share the load of entries that fetch at the same time.
std::string document_fetcher::choose_source(std::uint64_t held) const {
  const auto wanted = fetched_.version != 0 ? fetched_.version : held + 1;
  std::vector<std::string> candidates;
  std::vector<std::string> others;
  for (const auto& [id, version] : versions_) {
    if (version >= wanted) {
      (passed_over_.contains(id) ? others : candidates).push_back(id);
    }
  }
  const auto& from = candidates.empty() ? others : candidates;
  const auto at = base::rendezvous_pick(settings_.self, from);
  return at < from.size() ? from[at] : std::string();
}

void document_fetcher::ask_next(std::uint64_t held, base::time_point now) {
  const auto next = choose_source(held);
  if (passed_over_.contains(next)) {
    passed_over_.clear(); // all have been asked; in the next round each is again
  }
  answer_until_ = {};
  if (!next.empty()) {
    ask(next, held, now);
  }
}

void document_fetcher::ask(const std::string& control, std::uint64_t held, base::time_point now) {
  source_ = control;
  answer_until_ = now + settings_.timeout;
  document_fetch out;
  out.held = held;
  out.reads_cold_terms = true;
  out.reads_pieces = true;
  out.hash = fetched_.hash;
  out.offset = fetched_.bytes.size();
  course_.asked_at = course_.requests == 0 ? now : course_.asked_at;
  ++course_.requests;
  hooks_.send(control, message_kind::document_fetch, peer::pack(out));
}

bool document_fetcher::is_acceptable(const document_piece& piece, std::uint64_t held) const {
  return piece.version > held && (piece.base == 0 || piece.base == held) &&
         is_receivable(piece.size, piece.content_size) && !piece.data.empty() &&
         piece.offset <= piece.size && piece.data.size() <= piece.size - piece.offset;
}

std::optional<fetched_document> document_fetcher::receive(std::string_view from,
                                                          const document_piece& piece,
                                                          std::uint64_t held,
                                                          base::time_point now) {
  const bool is_next = piece.offset == fetched_.bytes.size() &&
                       (fetched_.bytes.empty() || piece.hash == fetched_.hash);
  if (!is_waiting() || (from != source_ && !is_next)) {
    return std::nullopt; // a doubled answer, or a late one that is of no use any more
  }
  source_ = from;
  if (!is_acceptable(piece, held)) {
    if (piece.size != 0) {
      log("document_piece_refused",
          "from=" + source_ + " version=" + std::to_string(piece.version) +
              " base=" + std::to_string(piece.base) + " size=" + std::to_string(piece.size) +
              " limit=" + std::to_string(max_document_bytes));
    }
    versions_[source_] = 0; // until it names its version again
    ask_next(held, now);
    return std::nullopt;
  }
  if (piece.hash != fetched_.hash) {
    passed_over_.insert(source_);
    const auto next = fetched_.bytes.empty() ? std::string() : choose_source(held);
    if (!next.empty() && !passed_over_.contains(next)) {
      ask(next, held, now); // another control instance may still have the rest
      return std::nullopt;
    }
    passed_over_.clear();
    fetched_ = {piece.version, piece.base, piece.content_size, {}, piece.hash};
    size_ = piece.size;
    course_.first_at = now;
    course_.pieces = 0;
  }
  if (piece.offset != fetched_.bytes.size() || piece.size != size_) {
    return std::nullopt; // answers an earlier request; the present one is repeated if need be
  }
  fetched_.bytes += piece.data;
  ++course_.pieces;
  if (fetched_.bytes.size() < size_) {
    ask_next(held, now);
    return std::nullopt;
  }
  answer_until_ = {};
  course_.whole_at = now;
  auto whole = std::exchange(fetched_, {});
  if (hash_of(whole) != whole.hash) {
    log("document_damaged", "from=" + source_ + " version=" + std::to_string(whole.version));
    passed_over_.insert(source_);
    ask_next(held, now);
    return std::nullopt;
  }
  passed_over_.clear();
  return fetched_document{std::move(whole), piece.applied, piece.evacuations,
                          std::exchange(course_, {})};
}

void document_fetcher::start_over() {
  fetched_ = {};
  course_ = {};
}

void document_fetcher::reset() {
  start_over();
  answer_until_ = {};
}

void document_fetcher::reject(base::time_point now) {
  reset();
  pause_until_ = now + rejection_pause;
}

void document_fetcher::forget(std::string_view control) {
  const auto it = versions_.find(control);
  if (it != versions_.end()) {
    versions_.erase(it);
  }
}

} // namespace kingcupshunt::fleet
