// Compares the rate owners with static shares and with an ask for each request, in simulated time
// with fixed seeds. Usage: rates_table [table|slope]
#include "support/live_bytes.h"

#include <cstdio>
#include <cstring>
#include <string>

#include "support/rates_fleet.h"

using namespace kingcupshunt;
using support::at_seconds;
using support::rates_fleet;

namespace {

constexpr double warm_up = 30;  // seconds, fills the buckets
constexpr double measured = 60; // seconds
constexpr std::size_t nodes = 15;

struct workspace_load {
  std::string name;
  rates::limit limit;
  double per_second = 0;
  bool is_even = true;
};

struct scenario {
  std::string name;
  std::vector<workspace_load> loads;
  bool kills_owner = false;
  bool stops_owner = false; ///< planned: leaves the view while it runs, ends 1 s later
};

struct arrival {
  double at = 0;
  std::size_t workspace = 0;
  std::size_t node = 0;
};

// Ideal bucket of a workspace in true time.
struct ideal {
  rates::limit limit;
  double level = 0;
  double last = 0;
  void accrue(double now) {
    level = std::min(limit.burst, level + limit.rate * (now - last));
    last = now;
  }
};

struct tally {
  ideal due; ///< serves every request that one central bucket could serve
  bool is_within_rate = true;
  std::uint64_t requests = 0;
  std::uint64_t admitted = 0;
  std::uint64_t due_count = 0;
};

struct result {
  std::vector<tally> tallies;
  std::vector<double> waits_ms;
  double messages = 0; // per node and second
  double bytes = 0;
};

result make_result(const scenario& s) {
  result r;
  for (const auto& w : s.loads) {
    tally t;
    t.due = {w.limit, w.limit.burst, warm_up};
    t.is_within_rate = w.per_second <= w.limit.rate;
    r.tallies.push_back(t);
  }
  return r;
}

void on_request(tally& t, double now) {
  ++t.requests;
  t.due.accrue(now);
  if (t.due.level >= 1) {
    t.due.level -= 1;
    ++t.due_count;
  }
}

void on_outcome(result& r, tally& t, bool is_admitted, double wait_ms) {
  if (!is_admitted) {
    return;
  }
  ++t.admitted;
  if (t.is_within_rate) {
    r.waits_ms.push_back(wait_ms);
  }
}

std::vector<arrival> make_arrivals(const scenario& s, std::uint64_t seed) {
  base::rng rng(seed);
  std::vector<arrival> out;
  for (std::size_t w = 0; w < s.loads.size(); ++w) {
    for (double t = warm_up;;) {
      t += -std::log(1.0 - rng.unit()) / s.loads[w].per_second;
      if (t >= warm_up + measured) {
        break;
      }
      std::size_t node = rng.below(nodes);
      if (!s.loads[w].is_even && rng.unit() < 0.9) {
        // Nine of ten requests come through two instances, two thirds of them through one.
        node = (w * 4 + (rng.below(3) == 0 ? 1 : 0)) % nodes;
      }
      out.push_back({t, w, node});
    }
  }
  std::ranges::sort(out, {}, &arrival::at);
  return out;
}

result run_owners(const scenario& s, std::uint64_t seed) {
  support::fleet_options o;
  o.instances = nodes;
  o.seed = seed;
  rates_fleet fleet(o);
  for (const auto& w : s.loads) {
    fleet.limits[w.name] = w.limit;
  }
  auto r = make_result(s);
  fleet.run_until(at_seconds(warm_up));
  for (const auto& a : make_arrivals(s, seed)) {
    fleet.at(at_seconds(a.at), [&fleet, &r, &s, a] {
      auto& t = r.tallies[a.workspace];
      std::size_t node = a.node;
      while (!fleet.instances()[node].is_alive) {
        node = (node + 1) % nodes; // the caller takes another address
      }
      on_request(t, a.at);
      fleet.request(node, s.loads[a.workspace].name,
                    [&r, &t](const rates::acquired& out, base::duration wait) {
                      on_outcome(r, t, out.has_value(), 1e3 * base::to_seconds(wait));
                    });
    });
  }
  if (s.kills_owner || s.stops_owner) {
    fleet.at(at_seconds(warm_up + 20), [&fleet, &s] {
      std::size_t owner = 0;
      while (fleet.instances()[owner].owner->find_bucket("w0") == nullptr) {
        ++owner;
      }
      const auto change = [&fleet, owner] {
        fleet.change_view(owner, false,
                          [&fleet] { return base::from_seconds(0.2 * fleet.rng().unit()); });
      };
      if (s.kills_owner) {
        fleet.kill(owner);
        fleet.at(fleet.now() + base::seconds(1), change);
      } else {
        change();
        fleet.at(fleet.now() + base::seconds(1), [&fleet, owner] { fleet.kill(owner); });
      }
    });
  }
  fleet.run_until(at_seconds(warm_up + measured + 1));
  for (const auto& n : fleet.instances()) {
    r.messages += static_cast<double>(n.sent.messages) / nodes / measured;
    r.bytes += static_cast<double>(n.sent.bytes) / nodes / measured;
  }
  return r;
}

result run_static(const scenario& s, std::uint64_t seed) {
  auto r = make_result(s);
  std::map<std::pair<std::size_t, std::size_t>, ideal> shares;
  for (const auto& a : make_arrivals(s, seed)) {
    const auto& l = s.loads[a.workspace].limit;
    const rates::limit share{l.rate / nodes, std::max(1.0, l.burst / nodes)};
    auto& b =
        shares.try_emplace({a.workspace, a.node}, ideal{share, share.burst, warm_up}).first->second;
    auto& t = r.tallies[a.workspace];
    on_request(t, a.at);
    b.accrue(a.at);
    const bool is_admitted = b.level >= 1;
    b.level -= is_admitted ? 1 : 0;
    on_outcome(r, t, is_admitted, 0);
  }
  return r;
}

result run_ask_each(const scenario& s, std::uint64_t seed) {
  constexpr double delay = 0.0015;
  auto r = make_result(s);
  std::vector<ideal> buckets;
  for (const auto& w : s.loads) {
    buckets.push_back({w.limit, w.limit.burst, warm_up});
  }
  double messages = 0;
  for (const auto& a : make_arrivals(s, seed)) {
    auto& t = r.tallies[a.workspace];
    on_request(t, a.at);
    const bool is_local = a.node == base::hash64(s.loads[a.workspace].name) % nodes;
    auto& b = buckets[a.workspace];
    b.accrue(a.at);
    const bool is_admitted = b.level >= 1;
    b.level -= is_admitted ? 1 : 0;
    on_outcome(r, t, is_admitted, is_local ? 0 : 2e3 * delay);
    messages += is_local ? 0 : 2;
  }
  r.messages = messages / nodes / measured;
  // The same frames as the owners use: an ask of 84 and an answer of 88 bytes on average.
  r.bytes = messages / 2 * (84 + 88) / nodes / measured;
  return r;
}

void print_row(const scenario& s, const char* scheme, result r) {
  std::uint64_t requests = 0;
  std::uint64_t wrongful = 0;
  double worst = 1;
  for (const auto& t : r.tallies) {
    requests += t.requests;
    // Requests refused beyond those that one central bucket refuses.
    wrongful += t.due_count > t.admitted ? t.due_count - t.admitted : 0;
    worst = std::min(worst, static_cast<double>(t.admitted) /
                                static_cast<double>(std::max<std::uint64_t>(t.due_count, 1)));
  }
  std::ranges::sort(r.waits_ms);
  const auto quantile = [&](double q) {
    return r.waits_ms.empty() ? 0.0
                              : r.waits_ms[static_cast<std::size_t>(
                                    q * static_cast<double>(r.waits_ms.size() - 1))];
  };
  std::printf("| %s | %s | %llu | %.3f %% | %.3f | %.1f | %.1f | %.1f | %.0f |\n", s.name.c_str(),
              scheme, static_cast<unsigned long long>(requests),
              100.0 * static_cast<double>(wrongful) / static_cast<double>(requests), worst,
              quantile(0.5), quantile(0.99), r.messages, r.bytes);
}

std::vector<workspace_load> eight(bool is_even, double load) {
  std::vector<workspace_load> out;
  const double all[] = {400, 200, 100, 50, 20, 20, 10, 5};
  for (std::size_t i = 0; i < 8; ++i) {
    out.push_back(
        {"w" + std::to_string(i), {all[i], std::max(4.0, all[i])}, load * all[i], is_even});
  }
  return out;
}

void print_table() {
  std::vector<scenario> all;
  all.push_back({"8 workspaces, even, 80 % of the rate", eight(true, 0.8)});
  all.push_back({"8 workspaces, uneven, 80 %", eight(false, 0.8)});
  all.push_back({"8 workspaces, even, 95 %", eight(true, 0.95)});
  auto flood = eight(true, 0.8);
  flood[3].per_second = 10 * flood[3].limit.rate;
  all.push_back({"one tenant (50/s) at 10 times its rate", flood});
  all.push_back({"owner killed, view 1 s later", eight(true, 0.8), true});
  all.push_back({"owner stopped as planned", eight(true, 0.8), false, true});
  all.push_back({"rate 1/s, burst 1, 50 %", {{"w0", {1, 1}, 0.5, true}}});
  all.push_back({"rate 1/s, burst 3, 50 %", {{"w0", {1, 3}, 0.5, true}}});
  all.push_back({"rate 500/s, burst 5, 80 %", {{"w0", {500, 5}, 400, true}}});
  std::printf("| Scenario | Scheme | Requests | Wrongful refusals | Worst share | Wait p50 ms | "
              "Wait p99 ms | Messages/s per node | Bytes/s per node |\n"
              "|---|---|---|---|---|---|---|---|---|\n");
  for (const auto& s : all) {
    print_row(s, "owners", run_owners(s, 20261204));
    print_row(s, "static shares", run_static(s, 20261204));
    print_row(s, "ask for each", run_ask_each(s, 20261204));
  }
}

// Memory of one owner and one client that hold `n` workspaces, and the traffic of 15 nodes with
// `n` workspaces that each send 0.1 requests/s through random nodes.
void print_slope(std::size_t n) {
  const auto now = at_seconds(100);
  const auto name = [](std::size_t i) { return "workspace-" + std::to_string(100000 + i); };
  const auto limit_of = [](std::string_view) { return std::optional(rates::limit{10, 20}); };
  std::vector<std::string> to_owner;
  membership::fleet_view v{1, {{"self", "", "", "", true}}};
  rates::owner owner({"self", 1, 8}, {[](auto, auto, auto) {}, limit_of, {}, {}, {}, {}});
  rates::client client(
      {}, {[&](auto, auto, std::string b) { to_owner.push_back(std::move(b)); }, {}, {}});
  owner.set_view(v, at_seconds(0));
  client.set_view(v, at_seconds(0));
  auto before = support::live_bytes;
  for (std::size_t i = 0; i < n; ++i) {
    client.acquire(name(i), now, now + base::seconds(1), [](const rates::acquired&) {});
  }
  std::size_t frames = 0;
  for (const auto& b : to_owner) {
    frames += b.capacity() + sizeof(std::string);
  }
  const auto client_bytes = support::live_bytes - before - frames;
  before = support::live_bytes;
  for (const auto& b : to_owner) {
    owner.receive("self", peer::message_kind::rate_ask, b, now);
  }
  const auto owner_bytes = support::live_bytes - before;
  const auto held = owner.bucket_count();
  for (int i = 1; i < 20; ++i) {
    owner.tick(now + base::seconds(i));
  }
  support::fleet_options o;
  o.instances = nodes;
  o.is_timer_fine = false;
  rates_fleet fleet(o);
  fleet.run_until(at_seconds(5));
  const double duration = 10;
  const auto count = static_cast<std::size_t>(0.1 * duration * static_cast<double>(n));
  std::size_t admitted = 0;
  for (std::size_t i = 0; i < n; ++i) {
    fleet.limits[name(i)] = {10, 20};
  }
  for (std::size_t i = 0; i < count; ++i) {
    const auto w = name(fleet.rng().below(n));
    const auto node = fleet.rng().below(nodes);
    fleet.at(at_seconds(5 + duration * fleet.rng().unit()), [&fleet, &admitted, w, node] {
      fleet.request(node, w, [&admitted](const rates::acquired& a, base::duration) {
        admitted += a ? 1 : 0;
      });
    });
  }
  fleet.run_until(at_seconds(5 + duration + 1));
  double messages = 0;
  double bytes = 0;
  for (const auto& i : fleet.instances()) {
    messages += static_cast<double>(i.sent.messages);
    bytes += static_cast<double>(i.sent.bytes);
  }
  const auto thousands = static_cast<double>(n) / 1000;
  std::printf("| %zu | %.0f | %.0f | %zu | %.1f | %.2f | %.0f | %.4f |\n", n,
              static_cast<double>(client_bytes) / thousands / 1024,
              static_cast<double>(owner_bytes) / thousands / 1024, held - owner.bucket_count(),
              messages / duration / nodes / thousands, messages / static_cast<double>(count),
              bytes / static_cast<double>(count),
              static_cast<double>(admitted) / static_cast<double>(count));
}

} // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what.empty() || what == "table") {
    print_table();
  }
  if (what.empty() || what == "slope") {
    std::printf(
        "\n| Workspaces | Client KiB per 1,000 | Owner KiB per 1,000 | Buckets dropped when "
        "idle | Messages/s per node and 1,000 | Messages per request | Bytes per request | "
        "Admitted |\n|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t n : {1000U, 10000U, 100000U}) {
      print_slope(n);
    }
  }
  return 0;
}
