#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::config {

/// First bytes of a key's SHA-256. 128 bits can neither be guessed nor met by a second key.
using key_prefix = std::array<std::uint8_t, 16>;

key_prefix prefix_of(std::span<const std::uint8_t> sha256) noexcept;

/// A key that is issued to a workspace, or withdrawn.
struct issued_key_change {
  key_prefix prefix{};
  std::string workspace; ///< empty: withdrawn
};

/// Workspaces of the issued keys, in a form of about 20 bytes a key. Not changed once it is made,
/// so that snapshots share it.
class key_table {
public:
  key_table() = default;

  /// `base` with the changes; of several changes of a key the last one counts.
  key_table(const key_table& base, std::span<const issued_key_change> changes);

  /// Workspace of the key, or null. The rest of the hash is not compared.
  const std::string* find(const base::sha256_digest& sha256) const noexcept;

  std::size_t size() const noexcept { return rows_.size(); }
  /// Workspaces that have keys.
  const std::vector<std::string>& workspaces() const noexcept { return workspaces_; }

private:
  struct row {
    key_prefix prefix{};
    std::uint32_t workspace = 0; ///< position in workspaces_
  };

  void drop_unused_workspaces();

  std::vector<row> rows_; ///< sorted by prefix
  std::vector<std::string> workspaces_;
};

} // namespace kingcupshunt::config
