#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::config {

/// Kind of an entity. The values are stored and sent.
enum class record_kind : char {
  issued_key = 'k', ///< a key that is named by its hash
  limits = 'l',
  named_key = 'n', ///< a key that its author named
  route = 'r',
  service = 's',
  workspace = 'w',
};

/// One entity of a document, in the form in which instances hold and exchange it.
struct record {
  std::string id;    ///< kind, then the name; of an issued key, its SHA-256 in 32 bytes
  std::string value; ///< JSON; of an issued key, the workspace; empty: the entity is removed

  record_kind kind() const noexcept { return static_cast<record_kind>(id.front()); }
  std::string_view name() const noexcept { return std::string_view(id).substr(1); }
  bool operator==(const record&) const = default;
};

/// A document, or the changes between two. Sorted by id, with each id once.
using record_list = std::vector<record>;

std::string record_id(record_kind kind, std::string_view name);
record make_record(record_kind kind, std::string_view name, const nlohmann::json& entity);
record make_issued_key(const base::sha256_digest& sha256, std::string_view workspace);

/// Sorts by id. Of several records with one id the last one stays.
void normalize(record_list& records);

/// Records of a merged document: {"routes": {"name": entity}, ...}. Members that are no section of
/// a document are left out.
record_list to_records(const nlohmann::json& document);

/// Merged document, or the delta of make_delta, that the records stand for.
nlohmann::json to_json(std::span<const record> records);

/// What turns `before` into `after`.
record_list changes_between(std::span<const record> before, std::span<const record> after);

/// One change with the effect of `older` followed by `newer`.
record_list joined_changes(std::span<const record> older, std::span<const record> newer);

/// The records of one kind.
std::span<const record> records_of(std::span<const record> records, record_kind kind);

/// The record with this id, or null.
const record* find_record(std::span<const record> records, std::string_view id);

/// Bytes of the ids and values.
std::size_t size_of(std::span<const record> records) noexcept;

} // namespace kingcupshunt::config
