// Slopes of the configuration in force: heap and lookup cost as routes, workspaces and keys grow.
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/snapshot.h"

using namespace kingcupshunt;

namespace {

constexpr int lookups = 200'000;

std::string hash_of(std::size_t i) {
  return base::to_hex(base::sha256("key" + std::to_string(i)));
}

// `n` routes in n / 25 services and 2 n workspaces with one key each, as 180,000 to 330,000.
nlohmann::json make_document(std::size_t n) {
  auto document = nlohmann::json::object();
  const auto services = std::max<std::size_t>(n / 25, 1);
  for (std::size_t i = 0; i < services; ++i) {
    document["services"]["s" + std::to_string(i)] = {{"secret_sha256", hash_of(i)}};
  }
  for (std::size_t i = 0; i < n; ++i) {
    document["routes"]["r" + std::to_string(i)] = {
        {"service", "s" + std::to_string(i % services)},
        {"prefix", "/s" + std::to_string(i % services) + "/r" + std::to_string(i)}};
  }
  for (std::size_t i = 0; i < 2 * n; ++i) {
    const auto name = "w" + std::to_string(i);
    document["workspaces"][name] = {{"rate", 5}, {"burst", 10}};
    document["keys"]["k" + std::to_string(i)] = {{"workspace", name}, {"sha256", hash_of(i)}};
  }
  return document;
}

template <class F>
double ns_per_call(F call) {
  const auto start = std::chrono::steady_clock::now();
  std::size_t found = 0;
  for (int i = 0; i < lookups; ++i) {
    found += call(static_cast<std::size_t>(i) * 7919) ? 1 : 0;
  }
  const auto end = std::chrono::steady_clock::now();
  if (found != lookups) {
    std::printf("%d of %d lookups found nothing\n", lookups - static_cast<int>(found), lookups);
  }
  return std::chrono::duration<double, std::nano>(end - start).count() / lookups;
}

void print_row(std::size_t n, double& first_route, double& first_key) {
  const auto document = make_document(n);
  std::vector<base::sha256_digest> digests;
  for (std::size_t i = 0; i < std::min<std::size_t>(2 * n, 4096); ++i) {
    digests.push_back(base::sha256("key" + std::to_string(i)));
  }
  const auto before = mallinfo2().uordblks;
  config::snapshot s;
  if (!s.apply(document)) {
    std::printf("the document does not apply\n");
    return;
  }
  const auto bytes = mallinfo2().uordblks - before;
  const auto services = std::max<std::size_t>(n / 25, 1);
  std::vector<std::string> paths;
  for (std::size_t i = 0; i < std::min<std::size_t>(n, 4096); ++i) {
    paths.push_back("/s" + std::to_string(i % services) + "/r" + std::to_string(i) + "/x/y");
  }
  const auto route = ns_per_call(
      [&](std::size_t i) { return s.find_route("h", "GET", paths[i % paths.size()]) != nullptr; });
  const auto key = ns_per_call(
      [&](std::size_t i) { return s.find_key(digests[i % digests.size()]) != nullptr; });
  first_route = first_route == 0 ? route : first_route;
  first_key = first_key == 0 ? key : first_key;
  std::printf(
      "%9zu %11zu %12.1f %14.0f %14.2f %12.2f\n", n, 2 * n, static_cast<double>(bytes) / (1 << 20),
      static_cast<double>(bytes) / static_cast<double>(n), route / first_route, key / first_key);
}

} // namespace

int main() {
  std::printf("   routes  workspaces     heap MiB  bytes/route*  route lookup x  key lookup x\n");
  double first_route = 0;
  double first_key = 0;
  for (const std::size_t n : {1'000UL, 10'000UL, 100'000UL}) {
    print_row(n, first_route, first_key);
  }
  std::printf("* one route with its 1/25 service, 2 workspaces and 2 keys\n"
              "lookup x: time against the first row of this run\n");
  return 0;
}
