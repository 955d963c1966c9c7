#include <algorithm>

#include "kingcupshunt/storage/file_system.h"

namespace kingcupshunt::storage {

result<void> write_whole(file_system& files, const std::string& folder, const std::string& name,
                         const std::string& content) {
  const auto temporary = name + ".tmp";
  BOOST_OUTCOME_TRY(names, files.list(folder));
  if (std::ranges::find(names, temporary) != names.end()) {
    // Left behind by a write that failed; appending to it would damage this one.
    BOOST_OUTCOME_TRY(files.remove(folder + "/" + temporary));
  }
  {
    BOOST_OUTCOME_TRY(out, files.open(folder + "/" + temporary));
    BOOST_OUTCOME_TRY(out->write(content));
    BOOST_OUTCOME_TRY(out->sync());
  }
  BOOST_OUTCOME_TRY(files.rename(folder + "/" + temporary, folder + "/" + name));
  return files.sync_folder(folder);
}

} // namespace kingcupshunt::storage
