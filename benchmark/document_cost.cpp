// Cost of a large document at a control instance (check, translate, pack) and at an entry (unpack,
// read block by block, put in force), with the bytes that go over the network.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <utility>

#include "config_wire.h"
#include "kingcupshunt/config/record_blocks.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/fleet/packed_document.h"
#include "soak/wire.h"

using namespace kingcupshunt;

namespace {

constexpr std::size_t tenants = 88;

std::string make_text(std::size_t keys, std::size_t routes) {
  soak::wire::configuration c;
  c.version = 1;
  c.services = {"shop"};
  for (std::size_t i = 0; i < routes; ++i) {
    const auto name = "r-" + base::to_hex(base::sha256(std::to_string(i))).substr(0, 7);
    c.routes.push_back({name, "/" + name + "/", "shop", i % 2 == 0, 1});
  }
  for (std::size_t i = 0; i < tenants; ++i) {
    c.tenants.push_back({"tenant-" + std::to_string(i), {}, 50, 50});
  }
  for (std::size_t i = 0; i < keys; ++i) {
    c.tenants[i % tenants].keys.push_back(
        base::to_hex(base::sha256(std::to_string(i))).substr(0, 20));
  }
  return soak::wire::to_text(c);
}

template <class F>
double ms_of(F run) {
  const auto start = std::chrono::steady_clock::now();
  run();
  const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start;
  return time.count();
}

std::size_t heap_bytes() {
  const auto all = mallinfo2();
  return all.uordblks + all.hblkhd;
}

void print_row(std::size_t keys, std::size_t routes) {
  const auto text = make_text(keys, routes);
  const auto check = ms_of([&] { (void)platform::parse_document(text); });
  config::record_list records;
  auto before = heap_bytes();
  const auto translate =
      ms_of([&] { records = std::move(platform::translate_document(text).value()); });
  const auto records_bytes = heap_bytes() - before;
  fleet::packed_document packed;
  const auto pack = ms_of([&] { packed = fleet::pack_document(1, 0, records); });
  config::block_reader reader;
  const auto unpack =
      ms_of([&] { reader = config::block_reader(std::move(*fleet::unpack_document(packed))); });
  config::change_set changes;
  double longest = 0;
  double read = 0;
  while (!reader.is_done()) {
    const auto block = ms_of([&] { (void)reader.next(changes); });
    longest = std::max(longest, block);
    read += block;
  }
  before = heap_bytes();
  config::snapshot in_force;
  const auto apply = ms_of([&] { in_force.apply(changes); });
  const auto copy = ms_of([&] {
    auto next = in_force;
    in_force = std::move(next);
  });
  std::printf("%6zu %7zu %9zu %9zu %9zu %8.1f %9.1f %7.1f %7.1f %7.1f %8.2f %7.1f %7.1f %8.1f\n",
              keys, routes, text.size(), packed.content_size, packed.bytes.size(), check, translate,
              pack, unpack, read, longest, apply, copy,
              static_cast<double>(records_bytes) / (1 << 20));
}

} // namespace

int main() {
  std::printf("  keys  routes      text    packed      sent  check    translate  pack ms unpack  "
              "read ms longest  apply ms copy ms records MiB\n");
  print_row(1'000, 300);
  print_row(6'600, 2);
  print_row(50'000, 2);
  print_row(0, 10'000);
  print_row(50'000, 10'000);
  std::printf("times in ms; longest: of one block, between which requests are served\n");
  return 0;
}
