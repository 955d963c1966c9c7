#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/config/document.h"

namespace kingcupshunt::node {

/// File name to SHA-256 in hexadecimal digits.
using file_digests = std::map<std::string, std::string, std::less<>>;

file_digests digest_files(const config::files& files);

/// Base of the comparison between the watched folder and the fleet's files; stored over restarts.
struct folder_base {
  file_digests seen;     ///< files as last accepted, or as found when no base was stored
  file_digests rejected; ///< content that conflicted with another operator's change
  bool is_known = false; ///< false: no base is stored on this instance
};

/// Serializes a base as JSON for the data folder, and parses it. Empty when the text is not a base.
std::string to_text(const folder_base& base);
std::optional<folder_base> parse_folder_base(const std::string& text);

/// A file that was changed both in the folder and in the fleet since the last accepted state.
struct folder_conflict {
  std::string file;
};

/// Result of comparing the folder with its base and the fleet's files.
struct folder_plan {
  std::map<std::string, std::string> changed; ///< file name to new content
  std::vector<std::string> removed;
  std::vector<folder_conflict> conflicts; ///< not part of the proposed change
  bool removes_everything = false;        ///< refused: the folder is probably not mounted
  folder_base next;                       ///< base to store once the change is accepted

  bool has_change() const noexcept { return !changed.empty() || !removed.empty(); }
};

/// Compares a folder with its base and with the fleet's files. Only files that differ from the base
/// are proposed, so that an outdated folder does not revert later changes.
folder_plan plan_change(const folder_base& base, const config::files& folder,
                        const config::files& fleet);

} // namespace kingcupshunt::node
