#include "kingcupshunt/fleet/document_history.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace kingcupshunt::fleet {

using nlohmann::json;

namespace {

constexpr std::size_t max_steps = 64;
constexpr std::size_t max_step_bytes = 2U << 20U; ///< of all steps; further ones need the whole
/// Documents that are being fetched stay for this long after the last request for a piece, so that
/// changes in quick succession do not make a fetch start over.
constexpr base::seconds document_retention{10};
constexpr std::size_t max_kept_bytes = 16U << 20U;

/// The content without members that builds before the cold terms refuse.
json without_cold_terms(json content) {
  if (const auto services = content.find("services"); services != content.end()) {
    for (auto& [name, service] : services->items()) {
      if (service.is_object()) {
        service.erase("warmup_ms");
        service.erase("cold_rate");
      }
    }
  }
  return content;
}

} // namespace

void document_history::add(std::uint64_t version, config::record_list records) {
  if (version_ != 0) {
    step next{version_, config::changes_between(records_, records), 0};
    next.bytes = config::size_of(next.changes);
    step_bytes_ += next.bytes;
    steps_.push_back(std::move(next));
    while (!steps_.empty() && (steps_.size() > max_steps || step_bytes_ > max_step_bytes)) {
      step_bytes_ -= steps_.front().bytes;
      steps_.pop_front();
    }
  }
  version_ = version;
  records_ = std::move(records);
  texts_.clear();
  plain_texts_.clear();
}

std::uint64_t document_history::base_for(std::uint64_t held) const {
  const bool is_known = held != 0 && std::ranges::find(steps_, held, &step::from) != steps_.end();
  return is_known || held == version_ ? held : 0;
}

config::record_list document_history::changes_since(std::uint64_t base) const {
  config::record_list out;
  for (auto it = std::ranges::find(steps_, base, &step::from); it != steps_.end(); ++it) {
    out = config::joined_changes(out, it->changes);
  }
  return out;
}

document_history::shared_document document_history::packed_for(std::uint64_t held,
                                                               base::time_point now) {
  const auto base = base_for(held);
  for (auto& k : kept_) {
    if (k.document->version == version_ && k.document->base == base) {
      k.used_at = now;
      return k.document;
    }
  }
  auto made = std::make_shared<const packed_document>(
      base == 0 ? pack_document(version_, 0, records_)
                : pack_document(version_, base, changes_since(base)));
  kept_.push_back({made, now});
  drop_old(now);
  return made;
}

document_history::shared_document document_history::find(std::string_view hash,
                                                         base::time_point now) {
  for (auto& k : kept_) {
    if (k.document->hash == hash) {
      k.used_at = now;
      return k.document;
    }
  }
  return nullptr;
}

void document_history::drop_old(base::time_point now) {
  std::erase_if(kept_, [&](const kept_document& k) {
    return k.document->version != version_ && now - k.used_at > document_retention;
  });
  const auto total = [this] {
    std::size_t out = 0;
    for (const auto& k : kept_) {
      out += k.document->bytes.size();
    }
    return out;
  };
  // The last one has just been asked for.
  while (kept_.size() > 1 && total() > max_kept_bytes) {
    kept_.erase(
        std::ranges::min_element(kept_.begin(), kept_.end() - 1, {}, &kept_document::used_at));
  }
}

const document_history::plain_text&
document_history::text_for(std::uint64_t held, bool reads_cold_terms, std::size_t max_bytes) {
  const auto base = base_for(held);
  auto& texts = reads_cold_terms ? texts_ : plain_texts_;
  const auto it = texts.find(base);
  if (it != texts.end()) {
    return it->second;
  }
  auto content = config::to_json(base == 0 ? records_ : changes_since(base));
  if (!reads_cold_terms) {
    content = without_cold_terms(std::move(content));
  }
  auto& out = texts[base];
  out.base = base;
  out.text = content.dump();
  out.size = out.text.size();
  if (out.size > max_bytes) {
    std::string().swap(out.text);
  }
  return out;
}

} // namespace kingcupshunt::fleet
