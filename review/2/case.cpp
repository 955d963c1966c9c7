// All servers of one service refuse a part of their requests as not run for 8.5 s and are sound
// again afterwards. Requests go on at the same rate all the while; those of another service too.
// TROUBLE=0: the servers refuse nothing.
#include "kit.h"

#include <random>

using namespace kit;

namespace {

constexpr double refused_share = 0.55;
constexpr double trouble_s = 8.5;
constexpr double calm_s = 6;   // before the trouble
constexpr double after_s = 77; // after it; 92 s in all

struct outcome {
  double at = 0;
  bool is_order = false;
  int status = 0;
};

} // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  open_record(argv[2]);
  deployment d(argv[1]);
  std::vector<std::string> controls;
  std::vector<machine*> fronts;
  for (int i = 0; i < 3; ++i) {
    controls.push_back(d.add("core-" + std::to_string(i + 1), i + 1, true).control());
  }
  for (int i = 0; i < 2; ++i) {
    fronts.push_back(&d.add("front-" + std::to_string(i + 1), 21 + i, false));
  }
  for (auto& m : d.machines) {
    m->seeds = controls;
    m->start();
  }
  config c;
  c.services = {"fitting", "orders"};
  c.routes = {{"hold", "/hold/", "fitting", "unsafe", 2, 1, false},
              {"deposit", "/deposit/", "orders", "unsafe", 1, 0, false}};
  c.tenants = {{"optician", {"2b9wu3fexd9dnn2ctnfz"}, 0, 0}};
  if (!replace_config(controls, c, 10)) {
    return finish(2, "the first config was not acknowledged");
  }
  std::atomic<bool> is_refusing = false;
  std::mutex random_mutex;
  std::mt19937 random(1);
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 5; ++i) {
    servers.push_back(std::make_unique<server>());
    auto& s = *servers.back();
    s.service = c.services[i < 3 ? 0 : 1];
    s.id = "i-" + s.service + "-" + std::to_string(i);
    s.address = d.network + std::to_string(41 + i) + ":8080";
    s.controls = controls;
    s.on_request = [&](server& me, const message& m, connection&) {
      bool is_refused = false;
      if (is_refusing && me.service == "orders") {
        const std::lock_guard guard(random_mutex);
        is_refused = std::uniform_real_distribution<>(0, 1)(random) < refused_share;
      }
      me.note(m, !is_refused);
      if (is_refused) {
        return "HTTP/1.1 503 X\r\nRequest-Id: " + m.field("Request-Id") +
               "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      }
      sleep_s(0.1);
      return me.signed_answer(m, 200, "done");
    };
    s.start();
  }
  for (auto* f : fronts) {
    if (!wait_until([&] { return is_ready(*f); }, 10)) {
      return finish(2, "a front machine did not become ready");
    }
  }
  sleep_s(3);
  std::mutex mutex;
  std::vector<outcome> outcomes;
  const double start = now();
  const double trouble_at = start + calm_s;
  const double end = trouble_at + trouble_s + after_s;
  std::vector<std::thread> requesters;
  for (std::size_t f = 0; f < fronts.size(); ++f) {
    for (int k = 0; k < 2; ++k) {
      // Two orders and six requests for fitting a second at each front machine.
      requesters.emplace_back([&, f, k] {
        sleep_s(0.11 * static_cast<double>(f) + 0.05 * k);
        while (now() < end) {
          const double at = now();
          const auto r = send_request(fronts[f]->front(), "POST", k == 1 ? "/deposit/x" : "/hold/x",
                                      c.tenants[0].keys[0], 1000, "x");
          {
            const std::lock_guard guard(mutex);
            outcomes.push_back({at, k == 1, r.status});
          }
          sleep_until(at + (k == 1 ? 0.5 : 1.0 / 6));
        }
      });
    }
  }
  sleep_until(trouble_at);
  is_refusing = has_trouble();
  record("servers of orders: %s", has_trouble() ? "refuse a part" : "go on as before");
  sleep_until(trouble_at + trouble_s);
  is_refusing = false;
  record("servers of orders: sound again");
  for (auto& t : requesters) {
    t.join();
  }
  const auto share = [&](bool is_order, double from, double to) {
    int n = 0;
    int served = 0;
    for (const auto& o : outcomes) {
      if (o.is_order == is_order && o.at >= from && o.at < to) {
        ++n;
        served += o.status == 200 ? 1 : 0;
      }
    }
    return n == 0 ? 0.0 : static_cast<double>(served) / n;
  };
  const double before = share(true, start, trouble_at);
  const double after = share(true, trouble_at + trouble_s + 15, end);
  const double others = share(false, start, end);
  const double whole = share(true, start, end);
  record(
      "check: orders: %.2f served before, %.2f from 15 s after the servers are sound again, %.2f "
      "over the whole day; fitting: %.2f",
      before, after, whole, others);
  if (before < 0.9) {
    return finish(2, "requests were not served before the trouble");
  }
  const double all =
      static_cast<double>(std::count_if(outcomes.begin(), outcomes.end(),
                                        [](const auto& o) { return o.status == 200; })) /
      static_cast<double>(outcomes.size());
  record("check: orders served %.3f, all requests %.3f, a quarter of it %.3f", whole, all, all / 4);
  return whole < all / 4 ? finish(1, "BROKEN: a kind of request is starved though all servers are "
                                     "sound")
                         : finish(0, "held");
}
