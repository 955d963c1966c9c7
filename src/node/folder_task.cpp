#include "folder_task.h"

#include <utility>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/storage/file_system.h"

namespace kingcupshunt::node {

namespace {

constexpr base::milliseconds scan_interval{500};
constexpr base::seconds proposal_timeout{10};
constexpr const char* base_file = "folder-base.json";

// The same change against the same revision has the same id, so that a proposal whose answer was
// lost in a restart is not made twice.
std::string request_id_of(const std::string& instance, std::uint64_t revision,
                          const folder_plan& plan) {
  std::string text = instance + "\n" + std::to_string(revision);
  for (const auto& [name, content] : plan.changed) {
    text.append("\n+").append(name).append("\n").append(content);
  }
  for (const auto& name : plan.removed) {
    text.append("\n-").append(name);
  }
  return "folder-" + base::to_hex(base::sha256(text)).substr(0, 32);
}

} // namespace

folder_task::folder_task(const runtime& rt, fleet_state& fleet)
    : rt_(rt), fleet_(fleet), watch_(rt.settings.config_folder) {
  const auto text = storage::make_system_files()->read(rt_.settings.data_folder + "/" + base_file);
  if (text) {
    if (auto read = parse_folder_base(text.value())) {
      base_ = std::move(*read);
    }
  }
}

void folder_task::tick(base::time_point now) {
  if (now < next_scan_ || is_proposing_ || !fleet_.is_synced()) {
    return;
  }
  next_scan_ = now + scan_interval;
  const auto scanned = watch_.scan();
  if (!scanned) {
    log_once("not_read", scanned.error().path + ": " + message_of(scanned.error().code));
    return;
  }
  if (scanned.value()) {
    evaluate(*scanned.value(), now);
  }
}

void folder_task::evaluate(const config::files& folder, base::time_point now) {
  const auto& machine = fleet_.local_voter()->server().current();
  auto plan = plan_change(base_, folder, machine.configuration().files());
  if (plan.removes_everything) {
    log_once("refused", "the folder is empty where files were; remove files one by one");
    return;
  }
  for (const auto& conflict : plan.conflicts) {
    log_once("conflict", "file " + conflict.file + " was also changed by " +
                             machine.files_author() + " at revision " +
                             std::to_string(machine.files_revision()) +
                             "; edit it again to replace that change");
  }
  if (plan.has_change()) {
    propose(std::move(plan), folder, now);
    return;
  }
  if (to_text(plan.next) != to_text(base_) || !base_.is_known) {
    base_ = std::move(plan.next);
    store_base();
  }
}

void folder_task::propose(folder_plan plan, const config::files& folder, base::time_point now) {
  const auto revision = fleet_.local_voter()->server().current().files_revision();
  if (folder == last_refused_ && revision == last_refused_revision_) {
    return;
  }
  state::change_files change;
  change.request_id = request_id_of(rt_.settings.id, revision, plan);
  change.base_revision = revision;
  change.author = "folder of " + rt_.settings.id;
  change.changed = plan.changed;
  change.removed = plan.removed;
  is_proposing_ = true;
  fleet_.client().change(
      change, now + proposal_timeout,
      [this, next = std::move(plan.next), folder,
       revision](const state::client_result<state::command_result>& answer) {
        is_proposing_ = false;
        if (!answer) {
          log_once("unanswered", state::message_of(answer.error()));
          return;
        }
        const auto& result = answer.value();
        if (result.code == state::outcome::accepted) {
          base_ = next;
          store_base();
          log_once("accepted", "revision=" + std::to_string(result.revision));
          return;
        }
        if (result.code != state::outcome::conflict) {
          last_refused_ = folder;
          last_refused_revision_ = revision;
        }
        log_once("refused", std::string(state::message_of(result.code)) + " " + result.detail +
                                " author=" + result.author);
      },
      now);
}

void folder_task::log_once(const std::string& outcome, const std::string& evidence) {
  if (outcome + evidence == last_logged_) {
    return;
  }
  last_logged_ = outcome + evidence;
  rt_.record({"configuration.folder", "folder", rt_.settings.config_folder, outcome, evidence, 0});
}

// A base that is lost costs nothing but a comparison: what the fleet holds already is no change.
void folder_task::store_base() {
  const auto stored = storage::write_whole(*storage::make_system_files(), rt_.settings.data_folder,
                                           base_file, to_text(base_));
  if (!stored) {
    observe::log_error("folder_base_not_stored", {{"error", storage::describe(stored.error())}});
  }
}

} // namespace kingcupshunt::node
