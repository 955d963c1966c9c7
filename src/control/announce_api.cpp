#include "kingcupshunt/control/announce_api.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "kingcupshunt/auth/key.h"
#include "kingcupshunt/config/object_reader.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::control {

namespace {

using nlohmann::json;

constexpr std::uint32_t max_slots = 100'000;
constexpr base::milliseconds announcement_lifetime{3000};

http_response accept(const announce_hooks& hooks, const http_request& request) {
  if (request.path != "/announce" || request.method != "POST") {
    return error_response(404, "not_found", "announcements are sent with POST to /announce");
  }
  if (!hooks.is_ready()) {
    return error_response(503, "not_ready", "this instance has no configuration yet");
  }
  auto parsed = parse_announcement(request.body);
  if (!parsed) {
    return error_response(400, "malformed", parsed.error());
  }
  const auto service = hooks.find_service(parsed.value().service);
  if (!service) {
    return error_response(404, "unknown_service",
                          "service \"" + parsed.value().service + "\" does not exist");
  }
  const auto header = request.header("authorization");
  const auto given = base::sha256(auth::bearer_token(header));
  if (!base::is_equal_constant_time(given, service->secret_sha256)) {
    return error_response(401, "wrong_secret", "the service's secret does not match");
  }
  if (!hooks.announce(parsed.value())) {
    return error_response(409, "refused", "a newer announcement of this server is known");
  }
  const json answer = {{"lifetime_ms", announcement_lifetime.count()}};
  return {200, "application/json", answer.dump() + "\n"};
}

} // namespace

base::result<health::announcement, std::string> parse_announcement(const std::string& body) {
  const auto document = json::parse(body, nullptr, false);
  if (document.is_discarded()) {
    return std::string("the body is not valid JSON");
  }
  config::object_reader reader(document, "");
  health::announcement out;
  for (const auto* name : {"service", "address", "data_centre", "slots", "incarnation"}) {
    reader.require(name);
  }
  reader.read("service", out.service);
  reader.read("address", out.id);
  reader.read("data_centre", out.data_centre);
  reader.read("slots", out.slots, 1, max_slots);
  reader.read("is_draining", out.is_draining);
  reader.read("incarnation", out.incarnation, std::uint64_t{0}, UINT64_MAX);
  reader.read("sequence", out.sequence, std::uint64_t{0}, UINT64_MAX);
  settings::endpoint endpoint;
  if (!settings::parse_endpoint(out.id, endpoint)) {
    reader.fail(config::error_code::out_of_range, "address",
                "found \"" + out.id + "\", allowed is an IP address and a port");
  }
  if (auto done = reader.finish(); !done) {
    return config::describe(done.error());
  }
  out.id = endpoint.to_string();
  return out;
}

http_handler make_announce_handler(announce_hooks hooks) {
  return [hooks = std::move(hooks)](const http_request& request,
                                    const std::function<void(http_response)>& done) {
    done(accept(hooks, request));
  };
}

} // namespace kingcupshunt::control
