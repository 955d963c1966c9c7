#pragma once

#include <fstream>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/health/attempt.h"
#include "support/health_cluster.h"

namespace support {

/// Feeds a trace to the reporters and owners of a fleet and collects what they decide.
class trace_replay {
public:
  struct decision_record {
    std::int64_t t;
    std::string rule, subject, outcome;
    bool operator==(const decision_record&) const = default;
  };
  struct expectation {
    std::string outcome, subject;
    std::int64_t after, before;
  };

  explicit trace_replay(const std::string& path) {
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
      lines_.push_back(nlohmann::json::parse(line));
    }
  }

  bool is_empty() const { return lines_.empty(); }

  void run() {
    for (const auto& line : lines_) {
      schedule(line);
    }
    queue_.run_until(end_);
  }

  /// What went wrong; empty when all stated outcomes came true.
  std::vector<std::string> failures() const {
    std::vector<std::string> out;
    for (const auto& e : expectations) {
      if (!is_met(e)) {
        out.push_back(e.outcome + " " + e.subject + " between " + std::to_string(e.after) +
                      " and " + std::to_string(e.before) + " ms");
      }
    }
    return out;
  }

  std::vector<decision_record> decisions;
  std::vector<expectation> expectations;

private:
  struct probe_answer {
    health::probe_outcome outcome = health::probe_outcome::ok;
    base::duration delay = base::milliseconds(25);
  };

  base::time_point at(std::int64_t t) const { return start_ + base::milliseconds(t); }

  void schedule(const nlohmann::json& line) {
    if (line.contains("expect")) {
      expectations.push_back({line["expect"], line["subject"], line["after"], line["before"]});
      return;
    }
    const auto t = at(line["t"].get<std::int64_t>());
    if (line.contains("fleet")) {
      start_cluster(line, t);
    } else if (line.contains("upstreams")) {
      queue_.at(t, [this, line](auto now) { announce(line["upstreams"], now); });
    } else if (line.contains("a")) {
      schedule_attempt(line["a"], t);
    } else if (line.contains("probe")) {
      queue_.at(t, [this, p = line["probe"]](auto) {
        probe_answers_[p[1].get<std::string>()][p[0].get<std::string>()] = {
            static_cast<health::probe_outcome>(p[2].get<int>()),
            base::milliseconds(p[3].get<int>())};
      });
    } else if (line.contains("lost")) {
      queue_.at(t, [this, line](auto now) {
        auto id = line["lost"].get<std::string>();
        id = id == "owner" ? cluster_->owner_id() : id;
        cluster_->kill(id, now, base::milliseconds(line["noticed_ms"].get<int>()));
      });
    } else if (line.contains("end")) {
      end_ = t;
    }
  }

  void start_cluster(const nlohmann::json& line, base::time_point now) {
    cluster_settings settings;
    settings.instances = static_cast<int>(line["fleet"].size());
    settings.service = line["service"];
    settings.floor = line["floor"];
    cluster_ = std::make_unique<health_cluster>(settings, queue_);
    cluster_->on_decision = [this](const auto&, const observe::decision& d, auto t) {
      decisions.push_back({base::to_ms(t - start_), d.rule, d.subject, d.outcome});
    };
    cluster_->on_probe = [this](const auto& instance, const auto& id, auto t) {
      probe(instance, id, t);
    };
    cluster_->start(now);
  }

  void announce(const nlohmann::json& list, base::time_point now) {
    std::vector<health::upstream> ups;
    for (const auto& u : list) {
      health::upstream up;
      up.info = {cluster_->settings.service, u[0], u[1], u[2], u[3], u[4], 1};
      up.first_seen = up.renewed = now;
      ups.push_back(up);
    }
    cluster_->clock = now;
    cluster_->set_upstreams(ups, now);
  }

  void schedule_attempt(const nlohmann::json& fields, base::time_point t) {
    health::attempt a;
    a.service = "fitting";
    a.upstream = fields[1];
    a.total = a.first_byte = base::milliseconds(fields[2].get<int>());
    if (fields.size() > 3) {
      a.end = end_of(fields[3].get<std::string>());
      a.first_byte = base::milliseconds(fields[4].get<int>());
      a.route = fields[5];
    }
    const auto instance = fields[0].get<std::string>();
    queue_.at(t - a.total, [this, instance, a](auto now) {
      cluster_->clock = now;
      cluster_->nodes[instance].reporter->attempt_started(a.service, a.route, a.upstream, now);
    });
    queue_.at(t, [this, instance, a](auto now) {
      cluster_->clock = now;
      if (cluster_->nodes[instance].is_alive) {
        cluster_->nodes[instance].reporter->report(a, now);
      }
    });
  }

  static health::attempt_end end_of(const std::string& name) {
    for (int i = 0; i <= static_cast<int>(health::attempt_end::cancelled); ++i) {
      if (name == health::to_string(static_cast<health::attempt_end>(i))) {
        return static_cast<health::attempt_end>(i);
      }
    }
    throw std::runtime_error("unknown end of an attempt: " + name);
  }

  void probe(const std::string& instance, const std::string& id, base::time_point t) {
    probe_answer result;
    const auto& known = probe_answers_[id];
    if (const auto it = known.find(instance); it != known.end()) {
      result = it->second;
    } else if (const auto any = known.find("*"); any != known.end()) {
      result = any->second;
    }
    queue_.at(t + result.delay, [this, instance, id, result](auto now) {
      cluster_->clock = now;
      cluster_->nodes[instance].reporter->probe_done("fitting", id, result.outcome, now);
    });
  }

  bool has(const std::string& outcome, const expectation& e) const {
    return std::ranges::any_of(decisions, [&](const decision_record& d) {
      return d.outcome == outcome && d.rule.starts_with("ejection.") &&
             (e.subject == "*" || d.subject == e.subject) && d.t >= e.after && d.t <= e.before;
    });
  }

  bool is_met(const expectation& e) const {
    if (e.outcome == "ejected" || e.outcome == "returned") {
      return has(e.outcome, e);
    }
    if (e.outcome == "never_ejected") {
      return !has("ejected", e);
    }
    if (e.outcome == "still_ejected") {
      return !has("returned", e) && !has("probation", e);
    }
    return e.outcome == "self_faulty" &&
           std::ranges::any_of(decisions, [&](const decision_record& d) {
             return d.rule == "instance.faulty" && d.subject == e.subject && d.t >= e.after &&
                    d.t <= e.before;
           });
  }

  std::vector<nlohmann::json> lines_;
  event_queue queue_;
  base::time_point start_{base::seconds(1000)};
  base::time_point end_{};
  std::unique_ptr<health_cluster> cluster_;
  std::map<std::string, std::map<std::string, probe_answer>> probe_answers_;
};

} // namespace support
