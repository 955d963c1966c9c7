#pragma once

#include <optional>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/config/document.h"

namespace kingcupshunt::node {

enum class folder_error_code {
  missing,    ///< the folder does not exist or is not a folder
  unreadable, ///< a file can't be read
  too_large,  ///< a file or the folder exceeds the limit
};

const char* message_of(folder_error_code code) noexcept;

struct folder_error {
  folder_error_code code = folder_error_code::missing;
  std::string path;
};

/// Maximum total size of the files of a configuration folder, in bytes.
inline constexpr std::size_t max_folder_bytes = 512U << 20U;

/// Reads all regular files of `folder` whose names end in ".json" and don't start with a dot.
base::result<config::files, folder_error> read_folder(const std::string& folder);

/// Reads a configuration folder that is edited while it is watched.
class folder_watch {
public:
  explicit folder_watch(std::string folder) : folder_(std::move(folder)) {}

  /// Reads the folder. Returns its files when two scans in a row found the same content, so that
  /// partly written files are not used; empty otherwise.
  base::result<std::optional<config::files>, folder_error> scan();

private:
  std::string folder_;
  std::optional<config::files> last_;
};

} // namespace kingcupshunt::node
