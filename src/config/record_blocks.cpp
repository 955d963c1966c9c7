#include "kingcupshunt/config/record_blocks.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::config {

namespace {

// Reading a block takes a millisecond or two.
constexpr std::size_t entities_per_block = 64;
constexpr std::size_t keys_per_block = 4096;

struct record_block {
  std::string kind;                ///< one character
  std::string workspace;           ///< of issued keys; empty: withdrawn
  std::string prefixes;            ///< of issued keys
  std::vector<std::string> names;  ///< of other entities
  std::vector<std::string> values; ///< one for each name

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("k", kind), MSGPACK_NVP("w", workspace),
                     MSGPACK_NVP("p", prefixes), MSGPACK_NVP("n", names), MSGPACK_NVP("v", values))
};

std::string text_of(record_kind kind) {
  return std::string(1, static_cast<char>(kind));
}

void pack_entities(std::span<const record> records, msgpack::sbuffer& out) {
  for (std::size_t i = 0; i < records.size();) {
    record_block block{text_of(records[i].kind()), {}, {}, {}, {}};
    const auto kind = records[i].kind();
    for (;
         i < records.size() && records[i].kind() == kind && block.names.size() < entities_per_block;
         ++i) {
      block.names.emplace_back(records[i].name());
      block.values.push_back(records[i].value);
    }
    msgpack::pack(out, block);
  }
}

void pack_keys(std::span<const record> keys, msgpack::sbuffer& out) {
  std::vector<const record*> by_workspace;
  by_workspace.reserve(keys.size());
  for (const auto& r : keys) {
    by_workspace.push_back(&r);
  }
  std::ranges::stable_sort(by_workspace, {},
                           [](const record* r) -> const std::string& { return r->value; });
  constexpr auto prefix_bytes = key_prefix{}.size();
  for (std::size_t i = 0; i < by_workspace.size();) {
    const auto& workspace = by_workspace[i]->value;
    record_block block{text_of(record_kind::issued_key), workspace, {}, {}, {}};
    for (; i < by_workspace.size() && by_workspace[i]->value == workspace &&
           block.prefixes.size() < keys_per_block * prefix_bytes;
         ++i) {
      block.prefixes.append(by_workspace[i]->name().substr(0, prefix_bytes));
    }
    msgpack::pack(out, block);
  }
}

error damaged(std::string detail) {
  return {error_code::wrong_type, "", "", std::move(detail)};
}

result<void> read_keys(const record_block& block, change_set& out) {
  constexpr auto prefix_bytes = key_prefix{}.size();
  if (block.prefixes.size() % prefix_bytes != 0) {
    return damaged("a block of keys ends within a key");
  }
  const std::string_view all = block.prefixes;
  for (std::size_t i = 0; i < all.size(); i += prefix_bytes) {
    BOOST_OUTCOME_TRY(
        read_record(record_kind::issued_key, all.substr(i, prefix_bytes), block.workspace, out));
  }
  return base::success();
}

result<void> read_block(const record_block& block, change_set& out) {
  if (block.kind == text_of(record_kind::issued_key)) {
    return read_keys(block, out);
  }
  if (block.kind.size() != 1 || block.names.size() != block.values.size()) {
    return damaged("a block has no kind, or names without values");
  }
  const auto kind = static_cast<record_kind>(block.kind.front());
  for (std::size_t i = 0; i < block.names.size(); ++i) {
    BOOST_OUTCOME_TRY(read_record(kind, block.names[i], block.values[i], out));
  }
  return base::success();
}

} // namespace

std::string pack_blocks(std::span<const record> records) {
  msgpack::sbuffer out;
  const auto keys = records_of(records, record_kind::issued_key);
  const auto others = records.subspan(keys.empty() ? 0 : keys.size());
  pack_entities(others, out);
  pack_keys(keys, out);
  return {out.data(), out.size()};
}

result<void> block_reader::next(change_set& out) {
  try {
    const auto rest = content_.size() - offset_;
    const auto handle = msgpack::unpack(content_.data(), content_.size(), offset_, nullptr, nullptr,
                                        peer::parse_limits(rest));
    record_block block;
    handle.get().convert(block);
    return read_block(block, out);
  } catch (const msgpack::unpack_error&) {
    return damaged("a block is no msgpack");
  } catch (const msgpack::type_error&) {
    return damaged("a block has members of other types");
  }
}

} // namespace kingcupshunt::config
