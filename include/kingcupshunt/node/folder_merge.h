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

/// What a holder remembers of its watched folder over restarts.
struct folder_base {
  file_digests seen;     ///< files as last accepted, or as found when there was nothing to compare
  file_digests rejected; ///< content that lost against another operator's change
  bool is_known = false; ///< false: this holder has no memory of its folder
};

/// Text form for the data folder, and back. Empty when the text is not a folder base.
std::string to_text(const folder_base& base);
std::optional<folder_base> parse_folder_base(const std::string& text);

/// A file that was changed here and, since the last accepted state, by somebody else too.
struct folder_conflict {
  std::string file;
};

/// What to do after a scan of the folder.
struct folder_plan {
  std::map<std::string, std::string> changed; ///< file name to new content
  std::vector<std::string> removed;
  std::vector<folder_conflict> conflicts; ///< left out of the change
  bool removes_everything = false;        ///< refused: more likely an unmounted folder
  folder_base next;                       ///< base to store once the change is accepted

  bool has_change() const noexcept { return !changed.empty() || !removed.empty(); }
};

/// Compares a folder at rest with what the holder last saw and with the fleet's files. Only what
/// the operator changed since then is proposed, so a folder that is hours old undoes nothing.
folder_plan plan_change(const folder_base& base, const config::files& folder,
                        const config::files& fleet);

} // namespace kingcupshunt::node
