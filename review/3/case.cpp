// Requests whose path is a route's prefix without its last slash. The prefix doesn't begin such a
// path, so that the route must not be selected. TROUBLE=0: the paths have the slash.
#include "kit.h"

using namespace kit;

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  open_record(argv[2]);
  deployment d(argv[1]);
  std::vector<std::string> controls;
  for (int i = 0; i < 3; ++i) {
    controls.push_back(d.add("core-" + std::to_string(i + 1), i + 1, true).control());
  }
  auto& front = d.add("front-1", 21, false);
  for (auto& m : d.machines) {
    m->seeds = controls;
    m->start();
  }
  config c;
  c.services = {"fitting", "orders"};
  c.routes = {{"lookup", "/look/", "fitting", "safe", 1.5, 2, false},
              {"deposit", "/deposit/", "orders", "unsafe", 2, 1, false}};
  c.tenants = {{"optician", {"2b9wu3fexd9dnn2ctnfz"}, 0, 0}};
  if (!replace_config(controls, c, 10)) {
    return finish(2, "the first config was not acknowledged");
  }
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 2; ++i) {
    servers.push_back(std::make_unique<server>());
    auto& s = *servers.back();
    s.id = "i-" + c.services[static_cast<std::size_t>(i)];
    s.address = d.network + std::to_string(41 + i) + ":8080";
    s.service = c.services[static_cast<std::size_t>(i)];
    s.controls = controls;
    s.start();
  }
  if (!wait_until([&] { return is_ready(front); }, 10)) {
    return finish(2, "the front machine did not become ready");
  }
  sleep_s(4);
  const std::string slash = has_trouble() ? "" : "/";
  const auto send = [&](const std::string& method, const std::string& path) {
    return send_request(front.front(), method, path, c.tenants[0].keys[0], 2000,
                        method == "POST" ? "x" : "");
  };
  const auto served_by = [&](const result& r) {
    for (auto& s : servers) {
      const std::lock_guard guard(s->mutex);
      for (const auto& a : s->arrivals) {
        if (a.id == r.id && a.has_run) {
          return s->service;
        }
      }
    }
    return std::string();
  };
  int wrong = 0;
  // No route of the config begins these paths: 404.
  for (int i = 0; i < 10; ++i) {
    const auto r = send("POST", "/deposit" + slash);
    const auto by = served_by(r);
    const bool is_allowed = slash == "/" ? by == "orders" : by.empty();
    wrong += is_allowed ? 0 : 1;
    record("check: POST /deposit%s -> %d, run by \"%s\": %s", slash.c_str(), r.status, by.c_str(),
           is_allowed ? "allowed" : "NOT ALLOWED");
  }
  // From r2 on the prefix "/" begins them: they go to "fitting" and to no other service.
  c.version = 2;
  c.routes.push_back({"rest", "/", "fitting", "safe", 1.5, 2, false});
  if (!replace_config(controls, c, 10)) {
    return finish(2, "the second config was not acknowledged");
  }
  sleep_s(4);
  for (int i = 0; i < 10; ++i) {
    const auto r = send("POST", "/deposit" + slash);
    const auto by = served_by(r);
    const bool is_allowed = by == (slash == "/" ? "orders" : "fitting");
    wrong += is_allowed ? 0 : 1;
    record("check: POST /deposit%s -> %d, run by \"%s\": %s", slash.c_str(), r.status, by.c_str(),
           is_allowed ? "allowed" : "NOT ALLOWED");
  }
  record("check: %d of 20 requests were run by a service to which no config allows them to go",
         wrong);
  return wrong > 0 ? finish(1, "BROKEN: requests are run by a service that no config allows")
                   : finish(0, "held");
}
