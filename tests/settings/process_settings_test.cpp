#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "kingcupshunt/settings/process_settings.h"

using namespace kingcupshunt;

namespace {

namespace fs = std::filesystem;

// A folder with a fleet secret, removed at the end of the test.
struct secret_folder {
  secret_folder() {
    auto name = (fs::temp_directory_path() / "kcs-settings-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
    std::ofstream(path / "secret") << "0123456789abcdef\n";
    fs::permissions(path / "secret", fs::perms::owner_read | fs::perms::owner_write);
  }
  ~secret_folder() { fs::remove_all(path); }
  std::string file() const { return (path / "settings.json").string(); }
  fs::path path;
};

const std::string valid = R"({
  // comments are allowed
  "id": "e1", "fleet": "test", "data_centre": "dc1", "fleet_secret_file": "secret",
  "listen": {"entry": "127.0.0.1:8080", "announce": "127.0.0.1:8081",
             "operator": "127.0.0.1:8082", "peer": "[::1]:8083"},
  "voters": [{"id": "e1", "peer": "[::1]:8083"}],
  "data_folder": "data"
})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string error_of(const std::string& text, const secret_folder& folder) {
  auto parsed = settings::parse(text, folder.file());
  REQUIRE(!parsed);
  return settings::describe(parsed.error());
}

} // namespace

TEST_CASE("valid settings resolve files beside the settings file") {
  const secret_folder folder;
  auto parsed = settings::parse(valid, folder.file());
  REQUIRE(parsed);
  CHECK(parsed.value().fleet_secret == "0123456789abcdef");
  CHECK(parsed.value().data_folder == (folder.path / "data").string());
  CHECK(parsed.value().peer.to_string() == "[::1]:8083");
  CHECK(parsed.value().is_voter());
}

TEST_CASE("an invalid value is refused with its pointer and what is allowed") {
  const secret_folder folder;
  CHECK(error_of(replaced(valid, "127.0.0.1:8080", "localhost:8080"), folder)
            .find("/listen/entry: value out of range: found \"localhost:8080\"") !=
        std::string::npos);
  CHECK(error_of(replaced(valid, "\"data_folder\"", "\"data_foldr\""), folder).find("data_fold") !=
        std::string::npos);
  CHECK(
      error_of(replaced(valid, "127.0.0.1:8081", "127.0.0.1:0"), folder).find("/listen/announce") !=
      std::string::npos);
  CHECK(error_of(replaced(valid, "\"voters\": [", "\"voters\": [{\"id\": \"x\"},"), folder)
            .find("/voters/0/peer") != std::string::npos);
  CHECK(error_of("{\n\n \"id\": ,}", folder).find("line 3") != std::string::npos);
  CHECK(error_of("[]", folder).find("found array") != std::string::npos);
}

TEST_CASE("a fleet secret that others can read is refused") {
  const secret_folder folder;
  fs::permissions(folder.path / "secret", fs::perms::group_read, fs::perm_options::add);
  auto parsed = settings::parse(valid, folder.file());
  REQUIRE(!parsed);
  CHECK(parsed.error().code == settings::error_code::insecure_file);
}
