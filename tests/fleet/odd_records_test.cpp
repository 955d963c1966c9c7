#include <doctest/doctest.h>

#include <memory>

#include <msgpack.hpp>

#include "kingcupshunt/fleet/entry_link.h"
#include "kingcupshunt/peer/message.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;
using peer::message_kind;

namespace {

const base::time_point start{base::seconds(100)};

server_record record(const std::string& id) {
  server_record r;
  r.id = id;
  r.service = "fitting";
  r.address = "10.0.0.1:80";
  r.slots = 3;
  r.started_ms = 5;
  r.sequence = 1;
  return r;
}

using packer = msgpack::packer<msgpack::sbuffer>;

/// A list of records as another version or writer could send it.
template <class F>
std::string list_with(F&& add_odd) {
  msgpack::sbuffer buf;
  packer p(buf);
  p.pack_map(2);
  p.pack("c");
  p.pack(7);
  p.pack("r");
  p.pack_array(3);
  p.pack(record("a"));
  add_odd(p);
  p.pack(record("b"));
  return {buf.data(), buf.size()};
}

std::vector<std::string> ids_read(const std::string& body) {
  const auto share = peer::unpack<record_share>(body);
  std::vector<std::string> out;
  if (share) {
    for (const auto& it : share->records) {
      if (!it.id.empty()) {
        out.push_back(it.id);
      }
    }
  }
  return out;
}

/// An entry that has just asked the control instance "c1".
struct asking_entry {
  asking_entry() {
    entry_link_settings s;
    s.self = "e1";
    entry_link_hooks hooks;
    hooks.send = [this](std::string_view, message_kind kind, std::string body) {
      if (kind == message_kind::entry_ask) {
        sequence = peer::unpack<entry_ask>(body)->sequence;
      }
    };
    hooks.is_ready = [] { return true; };
    hooks.is_leaving = [] { return false; };
    hooks.on_server = [this](const server_record& r) { seen.push_back(r.id); };
    hooks.on_document = [](const config::snapshot&) {};
    hooks.on_controls = [] {};
    link = std::make_unique<entry_link>(std::move(s), std::move(hooks));
    link->set_seeds({"c1"});
    link->tick(start);
  }

  void answer(std::vector<server_record> records) {
    entry_answer m;
    m.sequence = sequence;
    m.table = {9, 0, 4, std::move(records)};
    link->receive("c1", message_kind::entry_answer, peer::pack(m), start);
  }

  std::unique_ptr<entry_link> link;
  std::uint64_t sequence = 0;
  std::vector<std::string> seen;
};

} // namespace

// Guards against a list of servers that is dropped whole, again and again, for one odd record.
TEST_CASE("one record that can't be read takes no other record of its list with it") {
  const std::vector<std::string> others{"a", "b"};
  CHECK(ids_read(list_with([](packer& p) { p.pack(5); })) == others);
  CHECK(ids_read(list_with([](packer& p) { p.pack_nil(); })) == others);
  CHECK(ids_read(list_with([](packer& p) { p.pack(std::string("text")); })) == others);
  CHECK(ids_read(list_with([](packer& p) {
          p.pack_map(2);
          p.pack("i");
          p.pack("odd");
          p.pack("n");
          p.pack("many");
        })) == others);
  CHECK(ids_read(list_with([](packer& p) {
          p.pack_map(2);
          p.pack("i");
          p.pack("odd");
          p.pack("n");
          p.pack(std::uint64_t{1} << 40U);
        })) == others);
  CHECK(ids_read(list_with([](packer& p) { // nested, within the bound of a message
          p.pack_map(1);
          p.pack("i");
          for (int i = 0; i < 8; ++i) {
            p.pack_array(1);
          }
          p.pack(1);
        })) == others);
}

// Guards against an entry that uses an odd record from another instance, or stops following.
TEST_CASE("an entry takes the sound records of a list and counts the others") {
  asking_entry e;
  auto nameless = record("");
  auto stateless = record("c");
  stateless.state = static_cast<server_state>(77);
  auto slotless = record("d");
  slotless.slots = 0;
  auto long_named = record(std::string(5000, 'n'));
  auto late_born = record("f");
  late_born.started_ms = UINT64_MAX;
  auto far_ahead = record("g");
  far_ahead.sequence = UINT64_MAX;
  auto torn = record("h\r\nX: y");
  auto last = record("b");
  last.address = "10.0.0.2:80";
  e.answer(
      {record("a"), nameless, stateless, slotless, long_named, late_born, far_ahead, torn, last});
  CHECK(e.seen == std::vector<std::string>{"a", "b"});
  CHECK(e.link->malformed_messages() == 7);
}
