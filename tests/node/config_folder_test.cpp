#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "kingcupshunt/node/config_folder.h"

using namespace kingcupshunt;
namespace fs = std::filesystem;

namespace {

struct temporary_folder {
  temporary_folder() {
    auto name = (fs::temp_directory_path() / "kcs-folder-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~temporary_folder() { fs::remove_all(path); }
  void write(const std::string& name, const std::string& text) const {
    std::ofstream(path / name) << text;
  }
  fs::path path;
};

} // namespace

TEST_CASE("a folder is used only when two scans agree, so that partly written files are ignored") {
  const temporary_folder folder;
  folder.write("a.json", "{");
  node::folder_watch watch(folder.path.string());
  CHECK(!watch.scan().value());
  folder.write("a.json", "{}");
  CHECK(!watch.scan().value());
  const auto files = watch.scan().value();
  REQUIRE(files);
  CHECK(files->at("a.json") == "{}");
}

TEST_CASE("a missing folder is an error and not an empty configuration") {
  const temporary_folder folder;
  folder.write("a.json", "{}");
  node::folder_watch watch(folder.path.string());
  CHECK(watch.scan());
  fs::remove_all(folder.path);
  const auto scanned = watch.scan();
  REQUIRE(!scanned);
  CHECK(scanned.error().code == node::folder_error_code::missing);
}

TEST_CASE("hidden files and files with other extensions are not configuration") {
  const temporary_folder folder;
  folder.write(".a.json", "x");
  folder.write("a.json~", "x");
  folder.write("b.json", "{}");
  CHECK(node::read_folder(folder.path.string()).value().size() == 1);
}
