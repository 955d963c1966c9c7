#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/records.h"
#include "kingcupshunt/fleet/packed_document.h"

namespace kingcupshunt::fleet {

/// The newest document as a control instance holds it, and what changed before, in the forms that
/// other instances fetch.
class document_history {
public:
  using shared_document = std::shared_ptr<const packed_document>;

  /// Text for builds that do not read pieces.
  struct plain_text {
    std::uint64_t base = 0; ///< version to which the changes apply; 0: the whole document
    std::string text;       ///< JSON of config::make_delta; empty when it is too long
    std::size_t size = 0;   ///< bytes of the text, also when it is too long
  };

  void add(std::uint64_t version, config::record_list records);

  bool is_empty() const noexcept { return version_ == 0; }
  std::uint64_t version() const noexcept { return version_; } ///< 0: none
  const config::record_list& records() const noexcept { return records_; }

  /// The newest document, as changes to `held` if these are known.
  shared_document packed_for(std::uint64_t held, base::time_point now);

  /// A document that packed_for has returned lately; null when it is not kept any more.
  shared_document find(std::string_view hash, base::time_point now);

  /// The newest document for a build that reads one message with at most `max_bytes` of text, as
  /// changes to `held` if these are known.
  const plain_text& text_for(std::uint64_t held, bool reads_cold_terms, std::size_t max_bytes);

private:
  /// What turned one version into the next one.
  struct step {
    std::uint64_t from = 0;
    config::record_list changes;
    std::size_t bytes = 0;
  };
  struct kept_document {
    shared_document document;
    base::time_point used_at{};
  };

  std::uint64_t base_for(std::uint64_t held) const;
  config::record_list changes_since(std::uint64_t base) const;
  void drop_old(base::time_point now);

  std::uint64_t version_ = 0;
  config::record_list records_;
  std::deque<step> steps_; ///< newest last; the last one leads to `version_`
  std::size_t step_bytes_ = 0;
  std::vector<kept_document> kept_;
  std::map<std::uint64_t, plain_text> texts_;       ///< of the newest document, by base
  std::map<std::uint64_t, plain_text> plain_texts_; ///< the same without cold terms
};

} // namespace kingcupshunt::fleet
