#include "operator_api.h"

#include <charconv>
#include <ctime>
#include <utility>

#include <nlohmann/json.hpp>

#include "kingcupshunt/auth/key.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/config/object_reader.h"

namespace kingcupshunt::node {

namespace {

using control::error_response;
using control::http_request;
using control::http_response;
using nlohmann::json;
using respond = std::function<void(http_response)>;

constexpr std::size_t default_decisions = 20;
constexpr std::size_t max_decisions = 1000;
constexpr base::seconds change_timeout{6};

http_response json_response(unsigned status, const json& page) {
  return {status, "application/json",
          page.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

std::string format_time(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[32];
  const auto n = std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
  auto ms = std::to_string(unix_ms % 1000);
  ms.insert(0, 3 - ms.size(), '0');
  return std::string(buf, n) + "." + ms + "Z";
}

bool is_authorized(const operator_sources& s, const http_request& request) {
  const auto& secret = s.rt.settings.operator_secret;
  if (secret.empty()) {
    return true;
  }
  const auto header = request.header("authorization");
  return base::is_equal_constant_time(base::sha256(auth::bearer_token(header)),
                                      base::sha256(secret));
}

http_response healthz(const operator_sources& s) {
  const auto ready = s.ready();
  return json_response(ready.is_ready ? 200 : 503,
                       {{"is_ready", ready.is_ready}, {"reason", ready.reason}});
}

http_response explain(const operator_sources& s, const http_request& request) {
  std::size_t limit = default_decisions;
  const auto text = request.parameter("limit");
  if (!text.empty()) {
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), limit);
    if (ec != std::errc{} || end != text.data() + text.size() || limit > max_decisions) {
      return error_response(400, "bad_limit", "limit is a whole number from 0 to 1000");
    }
  }
  auto list = json::array();
  for (const auto& d : s.rt.decisions.find(request.parameter("subject"), limit)) {
    list.push_back({{"time", format_time(d.unix_ms)},
                    {"rule", d.rule},
                    {"subject_kind", d.subject_kind},
                    {"subject", d.subject},
                    {"outcome", d.outcome},
                    {"evidence", d.evidence}});
  }
  return json_response(200, {{"instance", s.rt.settings.id}, {"decisions", std::move(list)}});
}

http_response configuration(const operator_sources& s) {
  json page = {{"revision", s.fleet.revision()},
               {"document", config::to_document(s.fleet.configuration())}};
  if (const auto* own = s.fleet.local_voter()) {
    const auto& machine = own->server().current();
    page["files"] = machine.configuration().files();
    page["files_revision"] = machine.files_revision();
    page["author"] = machine.files_author();
  }
  return json_response(200, page);
}

http_response change_response(const change_outcome& outcome) {
  if (!outcome.has_answer) {
    return error_response(504, "no_answer",
                          "whether the change took effect is unknown; resend it with the same "
                          "request_id");
  }
  const auto& result = outcome.result;
  json page = {{"outcome", state::message_of(result.code)},
               {"revision", result.revision},
               {"author", result.author},
               {"detail", result.detail}};
  switch (result.code) {
  case state::outcome::accepted:
    page["is_in_force"] = outcome.is_held;
    // Not held by a majority yet: a withdrawn key may still be accepted somewhere.
    return json_response(outcome.is_held ? 200 : 202, page);
  case state::outcome::conflict:
    return json_response(409, page);
  case state::outcome::full:
    return json_response(503, page);
  default:
    return json_response(422, page);
  }
}

void change(const operator_sources& s, const http_request& request, const respond& done) {
  auto parsed = parse_change(request.body);
  if (!parsed) {
    done(error_response(400, "malformed", parsed.error()));
    return;
  }
  const auto now = base::clock::now();
  s.fleet.change(
      parsed.value(), now + change_timeout,
      [done](const change_outcome& outcome) { done(change_response(outcome)); }, now);
}

json members_page(const operator_sources& s) {
  auto out = json::array();
  for (const auto& it : s.fleet.view().members) {
    out.push_back({{"id", it.id},
                   {"data_centre", it.data_centre},
                   {"is_active", it.is_active},
                   {"status", membership::name_of(s.fleet.detector().status_of(it.id))},
                   {"entry", it.entry_address}});
  }
  return out;
}

json upstreams_page(const operator_sources& s) {
  auto out = json::array();
  for (const auto& service : s.requests.registry().services()) {
    std::map<std::string, std::string> states;
    for (const auto& it : s.requests.reporter().states(service)) {
      states[it.id] = health::to_string(it.state);
    }
    for (const auto& it : s.requests.registry().upstreams(service)) {
      const auto state = states.find(it.info.id);
      out.push_back({{"service", service},
                     {"id", it.info.id},
                     {"data_centre", it.info.data_centre},
                     {"slots", it.info.slots},
                     {"is_draining", it.info.is_draining},
                     {"is_stale", it.is_stale},
                     {"state", state == states.end() ? "normal" : state->second}});
    }
  }
  return out;
}

json log_page(const voter& own) {
  const auto& log = own.server().log();
  return {{"is_leader", log.is_leader()},
          {"leader", log.leader()},
          {"term", log.term()},
          {"commit_index", log.commit_index()},
          {"last_index", log.last_index()},
          {"is_storage_well", log.is_storage_well()},
          {"reservations", own.server().current().reservations().size()}};
}

void route(const operator_sources& s, const http_request& request, const respond& done) {
  if (request.path == "/healthz") {
    done(healthz(s));
    return;
  }
  if (!is_authorized(s, request)) {
    done(error_response(401, "wrong_secret", "the operator secret does not match"));
    return;
  }
  if (request.method == "POST" && request.path == "/config/changes") {
    change(s, request, done);
  } else if (request.method != "GET") {
    done(error_response(405, "method_not_allowed", "use GET, or POST to /config/changes"));
  } else if (request.path == "/status") {
    done(json_response(200, status_page(s, base::clock::now())));
  } else if (request.path == "/explain") {
    done(explain(s, request));
  } else if (request.path == "/config") {
    done(configuration(s));
  } else if (request.path == "/metrics") {
    done({200, "text/plain; version=0.0.4", s.rt.metrics.serialize()});
  } else {
    done(error_response(404, "not_found",
                        "pages are /status, /explain, /config, /metrics and /healthz"));
  }
}

} // namespace

base::result<state::change_files, std::string> parse_change(const std::string& body) {
  const auto document = json::parse(body, nullptr, false);
  if (document.is_discarded()) {
    return std::string("the body is not valid JSON");
  }
  config::object_reader reader(document, "");
  state::change_files out;
  json files = json::object();
  for (const auto* name : {"request_id", "base_revision", "author", "files"}) {
    reader.require(name);
  }
  reader.read("request_id", out.request_id);
  reader.read("base_revision", out.base_revision, std::uint64_t{0}, UINT64_MAX);
  reader.read("author", out.author);
  reader.read_json("files", files);
  if (out.request_id.empty() || out.author.empty()) {
    reader.fail(config::error_code::out_of_range, "request_id",
                "request_id and author must not be empty");
  }
  if (!files.is_object()) {
    reader.fail(config::error_code::wrong_type, "files",
                "allowed is an object of file names to texts, objects or null");
  }
  if (auto done = reader.finish(); !done) {
    return config::describe(done.error());
  }
  for (const auto& [name, content] : files.items()) {
    if (content.is_null()) {
      out.removed.push_back(name);
    } else {
      out.changed[name] = content.is_string() ? content.get<std::string>() : content.dump(2);
    }
  }
  return out;
}

json status_page(const operator_sources& s, base::time_point now) {
  const auto ready = s.ready();
  json page = {{"id", s.rt.settings.id},
               {"data_centre", s.rt.settings.data_centre},
               {"is_ready", ready.is_ready},
               {"not_ready_reason", ready.reason},
               {"revision", s.fleet.revision()},
               {"is_synced", s.fleet.is_synced()},
               {"is_fresh", s.fleet.is_fresh(now)},
               {"view_version", s.fleet.view().version},
               {"requests_running", s.requests.running()},
               {"requests_waiting", s.requests.waiting()},
               {"load", s.requests.load()},
               {"rate_buckets_owned", s.requests.rate_owner().bucket_count()},
               {"members", members_page(s)},
               {"upstreams", upstreams_page(s)}};
  if (const auto* own = s.fleet.local_voter()) {
    page["log"] = log_page(*own);
  }
  return page;
}

control::http_handler make_operator_handler(operator_sources sources) {
  return [sources = std::move(sources)](const http_request& request, const respond& done) {
    route(sources, request, done);
  };
}

} // namespace kingcupshunt::node
