#include "simulation/invariant_checker.hpp"

#include <algorithm>

namespace poppystile::simulation {

namespace {
constexpr double sweep_slack_s = 0.5;  // seconds; the sweep runs every half second
constexpr double unanswered_s = 75;    // PROTOCOL: after the last trouble
constexpr double waits_s = 90;         // the same, beside room that fits
// seconds; an image may take as long to come, so that a start long after its command is no fault.
constexpr double late_start_s = 20;
constexpr double largest_begin_s = 240;  // PROTOCOL: the largest jobs begin within this
constexpr double largest_share = 0.1;    // of a class's jobs, by tasks
}  // namespace

void InvariantChecker::breach(const std::string& rule, const std::string& detail) {
  broken_.push_back(std::to_string(queue_.now()) + " " + rule + " " + detail);
}

const protocol::JobSpec* InvariantChecker::job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void InvariantChecker::on_machine(const std::string& id, std::uint32_t index, const Place& place) {
  ++starts_;
  if (is_mistaken(id)) ++mistaken_starts_;
  began_.emplace(id, queue_.now());
  const std::string name = id + "/" + std::to_string(index) + " on " + place.machine;
  const auto& spec = jobs_.at(id);
  auto& places = on_[{id, index}];
  for (const auto& [machine, other] : places)
    if (machine != place.machine)
      breach("ran_twice", std::string(name).append(" and ").append(machine));
  const bool type_allowed = !spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                     place.type) != spec.types->end();
  if (!type_allowed || (place.spot && !spec.spot) || (spec.zone && *spec.zone != place.zone))
    breach("wrong_place", name);
  if (spec.one_zone || spec.spread) check_zones(spec, index, place);
  if (places.empty()) team_cpus_[spec.team] += spec.each.cpus;
  places[place.machine] = place;
  const auto limit = limits_[spec.team];
  if (limit > 0 && team_cpus_[spec.team] > limit) breach("quota", spec.team);
  const auto told = cancelled_told_.find(id);
  if (told == cancelled_told_.end()) return;
  if (queue_.now() > told->second + late_start_s) ++cancelled_starts_;
  if (queue_.now() > told->second + cancel_s_) breach("ran_cancelled", name + " started");
}

void InvariantChecker::check_zones(const protocol::JobSpec& spec, std::uint32_t index,
                                   const Place& place) {
  const std::string& id = spec.id;
  const std::string name = id + "/" + std::to_string(index) + " on " + place.machine;
  std::uint32_t here = 1;
  std::uint32_t elsewhere = 0;
  for (auto it = on_.lower_bound({id, 0}); it != on_.end() && it->first.first == id; ++it) {
    const auto& [task, where] = *it;
    if (task.second == index) continue;
    for (const auto& [machine, other] : where) ++(other.zone == place.zone ? here : elsewhere);
  }
  if (spec.one_zone && elsewhere > 0) breach("wrong_place", name + " splits the zone");
  if (spec.spread && here > (spec.tasks + 1) / 2) breach("wrong_place", name + " crowds a zone");
}

void InvariantChecker::off_machine(const std::string& id, std::uint32_t index,
                                   const std::string& machine) {
  const auto it = on_.find({id, index});
  if (it == on_.end() || it->second.erase(machine) == 0 || !it->second.empty()) return;
  on_.erase(it);
  team_cpus_[jobs_.at(id).team] -= jobs_.at(id).each.cpus;
}

void InvariantChecker::completed(const std::string& id, std::uint32_t index) {
  auto& tasks = completed_[id];
  const bool last = tasks.insert(index).second && tasks.size() == jobs_.at(id).tasks;
  if (last && on_last_task_) on_last_task_(id);
}

bool InvariantChecker::is_on_a_machine(const std::string& id) const {
  const auto it = on_.lower_bound({id, 0});
  return it != on_.end() && it->first.first == id;
}

std::set<std::string> InvariantChecker::machines_of(const std::string& id) const {
  std::set<std::string> out;
  for (auto it = on_.lower_bound({id, 0}); it != on_.end() && it->first.first == id; ++it)
    for (const auto& [machine, place] : it->second) out.insert(machine);
  return out;
}

bool InvariantChecker::waits_within_limit(const std::string& id) const {
  const auto& spec = jobs_.at(id);
  const auto done = completed_.find(id);
  if (cancelled_told_.contains(id) || is_on_a_machine(id) ||
      (done != completed_.end() && done->second.size() == spec.tasks))
    return false;
  const auto limit = limits_.find(spec.team);
  const auto used = team_cpus_.find(spec.team);
  const std::int64_t needed =
      spec.each.cpus * (spec.kind == protocol::JobKind::gang ? spec.tasks : 1);
  return limit == limits_.end() || limit->second == 0 ||
         (used == team_cpus_.end() ? 0 : used->second) + needed <= limit->second;
}

void InvariantChecker::waits(const std::string& id, const std::string& beside) {
  if (beside.empty()) {
    waits_since_.erase(id);
    return;
  }
  const double since = waits_since_.emplace(id, queue_.now()).first->second;
  if (queue_.now() - std::max(since, troubles_until_) <= waits_s) return;
  breach("waits", std::string(id).append(" beside room on ").append(beside));
  waits_since_[id] = queue_.now();
}

bool InvariantChecker::is_completed(const std::string& id, std::uint32_t index) const {
  const auto it = completed_.find(id);
  return it != completed_.end() && it->second.contains(index);
}

void InvariantChecker::told(const std::string& id, int status, const std::string& state,
                            bool poll) {
  const bool known = jobs_.contains(id);
  if (status == 404 && accepted_.contains(id)) breach("forgotten", id + " got 404");
  if ((status == 400 || status == 422) && !poll && accepted_.contains(id))
    breach("forgotten", id + " refused when repeated");
  if (status != 200 && status != 201) return;
  if (!known) return breach("invented", id);
  accepted_.insert(id);
  answered_[id] = queue_.now();
  if (state == "done" && completed_[id].size() < jobs_.at(id).tasks) breach("not_done", id);
  if (done_.contains(id) && state != "done") breach("went_back", id + " done then " + state);
  if (cancelled_told_.contains(id) && state != "aborted")
    breach("went_back", id + " cancelled then " + state);
  if (state == "done") done_.insert(id);
}

void InvariantChecker::told_cancelled(const std::string& id) {
  cancelled_told_.emplace(id, queue_.now());
}

void InvariantChecker::sweep() {
  for (const auto& [task, places] : on_) {
    const auto told = cancelled_told_.find(task.first);
    if (told != cancelled_told_.end() && queue_.now() > told->second + cancel_s_ + sweep_slack_s)
      breach("ran_cancelled", task.first + " still on " + places.begin()->first);
  }
}

void InvariantChecker::judge_service() {
  const double now = queue_.now();
  for (const auto& id : accepted_) {
    // Nobody can be silent about a job that nobody asks about.
    const double since = std::max(answered_[id], troubles_until_);
    if (asked_[id] > since && now - since > unanswered_s) breach("forgotten", id + " unanswered");
  }
  std::map<std::string, std::vector<std::string>> groups;
  for (const auto& [id, spec] : jobs_) {
    if (cancelled_told_.contains(id) || now - submitted_[id] < largest_begin_s) continue;
    groups["class " + spec.job_class].push_back(id);
    groups["team " + spec.team].push_back(id);
  }
  for (auto& [name, ids] : groups) {
    const auto began =
        std::count_if(ids.begin(), ids.end(), [&](const auto& id) { return began_.contains(id); });
    if (2 * static_cast<std::size_t>(began) < ids.size()) breach("unserved", name);
    if (!name.starts_with("class")) continue;
    std::sort(ids.begin(), ids.end(),
              [&](const auto& a, const auto& b) { return jobs_[a].tasks > jobs_[b].tasks; });
    ids.resize(std::max<std::size_t>(
        1, static_cast<std::size_t>(largest_share * static_cast<double>(ids.size()))));
    const auto in_time = std::count_if(ids.begin(), ids.end(), [&](const auto& id) {
      return began_.contains(id) && began_[id] - submitted_[id] <= largest_begin_s;
    });
    if (2 * static_cast<std::size_t>(in_time) < ids.size())
      breach("unserved", "largest of " + name);
  }
}

std::size_t InvariantChecker::on_now(const std::string& job_class) const {
  return static_cast<std::size_t>(std::count_if(on_.begin(), on_.end(), [&](const auto& each) {
    return jobs_.at(each.first.first).job_class == job_class;
  }));
}

}  // namespace poppystile::simulation
