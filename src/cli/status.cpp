#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include "command.h"
#include "kingcupshunt/control/http_client.h"
#include "options.h"

namespace kingcupshunt::cli {

namespace {

using nlohmann::json;

constexpr base::milliseconds call_timeout{5000};
constexpr const char* default_operator = "127.0.0.1:8082";

// Fetches a JSON page from an instance; prints why it can't and returns a discarded value.
json fetch(const cxxopts::ParseResult& options, const std::string& target, int& code) {
  const auto endpoint = options["operator"].as<std::string>();
  control::http_headers headers;
  if (options.count("secret-file") > 0) {
    std::ifstream in(options["secret-file"].as<std::string>());
    std::string secret;
    std::getline(in, secret);
    headers["Authorization"] = "Bearer " + secret;
  }
  const auto answer = control::call(endpoint, "GET", target, "", call_timeout, headers);
  if (!answer) {
    std::cerr << endpoint << ": " << answer.error().message << '\n';
    code = exit_unreachable;
    return json(json::value_t::discarded);
  }
  auto parsed = json::parse(answer.value().body, nullptr, false);
  if (answer.value().status != 200 || parsed.is_discarded()) {
    std::cerr << endpoint << ": status " << answer.value().status << ": " << answer.value().body;
    code = exit_failed;
    return json(json::value_t::discarded);
  }
  return parsed;
}

std::string text_of(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// One line for each array element or scalar member, so that the output can be searched by line.
void print_value(const std::string& name, const json& value) {
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      auto path = name;
      path.append(name.empty() ? "" : ".").append(key);
      print_value(path, inner);
    }
    return;
  }
  if (!value.is_array()) {
    std::cout << name << " = " << text_of(value) << '\n';
    return;
  }
  for (const auto& row : value) {
    std::cout << name << ":";
    if (!row.is_object()) {
      std::cout << ' ' << text_of(row);
    } else {
      for (const auto& [key, inner] : row.items()) {
        std::cout << ' ' << key << '=' << text_of(inner);
      }
    }
    std::cout << '\n';
  }
}

void print_decision(const json& d) {
  std::cout << d.value("time", "") << ' ' << d.value("subject_kind", "") << ' '
            << d.value("subject", "") << ": " << d.value("outcome", "") << " by rule "
            << d.value("rule", "") << " (" << d.value("evidence", "") << ")\n";
}

} // namespace

int status(arguments args) {
  cxxopts::Options options("kingcupshunt status", "Shows what an instance sees.\n");
  options.add_options()("operator", "Operator address of the instance",
                        cxxopts::value<std::string>()->default_value(default_operator))(
      "secret-file", "File with the operator secret", cxxopts::value<std::string>())("json",
                                                                                     "Print JSON");
  int code = exit_ok;
  const auto parsed = parse_options(options, args, "", code);
  if (!parsed) {
    return code;
  }
  const auto page = fetch(*parsed, "/status", code);
  if (page.is_discarded()) {
    return code;
  }
  if (parsed->count("json") > 0) {
    std::cout << page.dump(2) << '\n';
  } else {
    print_value("", page);
  }
  return exit_ok;
}

int explain(arguments args) {
  cxxopts::Options options("kingcupshunt explain",
                           "Shows the decisions about an upstream, request id, workspace, "
                           "service or instance, newest first.\n");
  options.add_options()("operator", "Operator address of the instance",
                        cxxopts::value<std::string>()->default_value(default_operator))(
      "secret-file", "File with the operator secret", cxxopts::value<std::string>())(
      "json", "Print JSON")("limit", "Greatest number of decisions",
                            cxxopts::value<unsigned>()->default_value("20"))(
      "subject", "Id of the subject; all when absent",
      cxxopts::value<std::string>()->default_value(""));
  options.parse_positional("subject");
  options.positional_help("[SUBJECT]");
  int code = exit_ok;
  const auto parsed = parse_options(options, args, "", code);
  if (!parsed) {
    return code;
  }
  const auto target = "/explain?subject=" + (*parsed)["subject"].as<std::string>() +
                      "&limit=" + std::to_string((*parsed)["limit"].as<unsigned>());
  const auto page = fetch(*parsed, target, code);
  if (page.is_discarded()) {
    return code;
  }
  if (parsed->count("json") > 0) {
    std::cout << page.dump(2) << '\n';
    return exit_ok;
  }
  for (const auto& d : page["decisions"]) {
    print_decision(d);
  }
  if (page["decisions"].empty()) {
    std::cout << "no decisions recorded for this subject\n";
    return exit_failed;
  }
  return exit_ok;
}

} // namespace kingcupshunt::cli
