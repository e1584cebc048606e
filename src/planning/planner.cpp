#include "planning/planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "constants.hpp"

namespace poppystile::planning {

using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Model;
using bookkeeping::Placement;
using bookkeeping::PlacementPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

bool may_run_on(const JobSpec& job, const Machine& machine) {
  if (machine.spot && !job.spot) return false;
  if (job.zone && *job.zone != machine.zone) return false;
  return !job.types ||
         std::find(job.types->begin(), job.types->end(), machine.type) != job.types->end();
}

bool takes_tasks(const Machine& machine, double now_s) {
  return machine.heard && machine.confirmed && !machine.late && !machine.releasing &&
         !machine.gone && !machine.recalled && !machine.quarantined &&
         machine.avoid_until_s <= now_s;
}

double believed_run_s(const JobSpec& job) {
  return std::max(job.estimate_s, constants::least_estimate_s);
}

namespace {

// A machine as the plan changes it.
struct Slot {
  const Machine* machine = nullptr;
  Resources room;
  Resources for_arrays;  // its size less what services hold
  std::size_t entries = 0;
  std::set<std::string> images;
  double load = 0;     // seconds of array work, see design.md on the unit
  Resources stopping;  // room that is on its way
};

class Planning {
 public:
  Planning(const Model& model, const PlanningContext& context) : model_(model), context_(context) {
    for (const auto& [id, machine] : model.machines) {
      note_zones(machine);
      if (takes_tasks(machine, context.now_s)) slots_.push_back(slot_of(machine));
    }
    for (const auto& team : *context.teams) {
      limits_[team.name] = {std::llround(team.cpus_max * 1000), std::llround(team.gpus_max * 1000),
                            0};
      const auto use = model.teams.find(team.name);
      if (use != model.teams.end()) used_[team.name] = use->second.used;
    }
  }

  Plan run() {
    find_guaranteed();
    std::vector<const Job*> services;
    std::map<int, std::vector<const Job*>, std::greater<>> arrays;
    for (const auto& [id, job] : model_.jobs) {
      if (job.record.cancelled || job.waiting() == 0) continue;
      if (job.retry_at_s > context_.now_s) continue;
      if (job.spec().kind == JobKind::service) {
        services.push_back(&job);
      } else {
        arrays[static_cast<int>(job.spec().priority)].push_back(&job);
      }
    }
    const auto comes_first = [this](const Job* a, const Job* b) { return before(a, b); };
    std::stable_sort(services.begin(), services.end(), comes_first);
    for (const Job* job : services) place_service(*job);
    for (auto& [priority, batch] : arrays) {
      std::stable_sort(batch.begin(), batch.end(), comes_first);
      place_batch(batch);
      claim_guarantees(batch);
    }
    return std::move(plan_);
  }

 private:
  bool before(const Job* a, const Job* b) const {
    if (a->spec().priority != b->spec().priority) return a->spec().priority > b->spec().priority;
    const bool a_guaranteed = guaranteed_.contains(a);
    if (a_guaranteed != guaranteed_.contains(b)) return a_guaranteed;
    return a->record.accepted_wall_s < b->record.accepted_wall_s;
  }

  // A job is within its team's guarantee when it fits into it together with the team's earlier
  // unfinished jobs.
  void find_guaranteed() {
    for (const auto& team : *context_.teams) {
      std::vector<const Job*> jobs;
      for (const auto& [id, job] : model_.jobs)
        if (job.spec().team == team.name && !job.record.cancelled) jobs.push_back(&job);
      std::stable_sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        return a->record.accepted_wall_s < b->record.accepted_wall_s;
      });
      std::int64_t cpus = 0;
      std::int64_t gpus = 0;
      for (const Job* job : jobs) {
        cpus += job->spec().each.cpus * job->spec().tasks;
        gpus += job->spec().each.gpus * job->spec().tasks;
        if (cpus <= std::llround(team.cpus * 1000) && gpus <= std::llround(team.gpus * 1000))
          guaranteed_.insert(job);
      }
    }
  }

  // Whether work of `owner` may be stopped for a task of `job`.
  bool yields_to(const Job& owner, const Job& job) const {
    if (owner.spec().priority < job.spec().priority) return true;
    // A replica of higher priority is left alone: its pause costs its users more than the wait.
    if (owner.spec().kind == JobKind::service && owner.spec().priority > job.spec().priority)
      return false;
    return owner.spec().team != job.spec().team && guaranteed_.contains(&job) &&
           !guaranteed_.contains(&owner);
  }

  Slot slot_of(const Machine& machine) const {
    Slot slot;
    slot.machine = &machine;
    slot.room = machine.room();
    slot.for_arrays = machine.size;
    slot.entries = machine.placements.size();
    for (const auto& image : machine.images) slot.images.insert(image.name);
    for (const auto& placement : machine.placements) {
      if (placement.phase == PlacementPhase::exited) continue;
      if (placement.stopping) slot.stopping += placement.each;
      const auto job = model_.jobs.find(placement.job);
      if (job == model_.jobs.end() || job->second.spec().kind == JobKind::service)
        slot.for_arrays -= placement.each;
    }
    for (const auto& placement : machine.placements) slot.load += remaining_load(slot, placement);
    return slot;
  }

  double remaining_load(const Slot& slot, const Placement& placement) const {
    const auto job = model_.jobs.find(placement.job);
    if (placement.phase == PlacementPhase::exited || job == model_.jobs.end()) return 0;
    const JobSpec& spec = job->second.spec();
    if (spec.kind == JobKind::service) return 0;
    const auto abreast = spec.each.times_in(slot.for_arrays);
    if (abreast <= 0) return 0;
    const double expected = believed_run_s(spec);
    const double past =
        placement.phase == PlacementPhase::running ? context_.now_s - placement.since_s : 0;
    // An overdue task is taken to need some more: estimates are often too low.
    return std::max(expected - past, expected / 4) / static_cast<double>(abreast);
  }

  void note_zones(const Machine& machine) {
    for (const auto& placement : machine.placements)
      if (placement.phase != PlacementPhase::exited) ++in_zone_[placement.job][machine.zone];
  }

  std::uint32_t team_room(const JobSpec& job) const {
    const auto limit = limits_.find(job.team);
    if (limit == limits_.end()) return 0;
    const auto used = used_.find(job.team);
    const Resources now = used == used_.end() ? Resources{} : used->second;
    std::int64_t times = constants::max_tasks;
    if (limit->second.cpus > 0 && job.each.cpus > 0)
      times = std::min(times, (limit->second.cpus - now.cpus) / job.each.cpus);
    if (limit->second.gpus > 0 && job.each.gpus > 0)
      times = std::min(times, (limit->second.gpus - now.gpus) / job.each.gpus);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, times));
  }

  bool zone_allows(const JobSpec& job, const std::string& zone) const {
    const auto found = in_zone_.find(job.id);
    if (job.one_zone && found != in_zone_.end())
      for (const auto& [other, count] : found->second)
        if (count > 0 && other != zone) return false;
    if (job.spread && found != in_zone_.end()) {
      const auto here = found->second.find(zone);
      if (here != found->second.end() && here->second >= (job.tasks + 1) / 2) return false;
    }
    return true;
  }

  bool fits(const Slot& slot, const JobSpec& job) const {
    return slot.entries < constants::max_tasks_per_machine && job.each.fits(slot.room) &&
           may_run_on(job, *slot.machine) && zone_allows(job, slot.machine->zone);
  }

  void commit(Slot& slot, const JobSpec& job) {
    slot.room -= job.each;
    if (job.kind == JobKind::service) slot.for_arrays -= job.each;
    ++slot.entries;
    slot.images.insert(job.image);
    used_[job.team] += job.each;
    ++in_zone_[job.id][slot.machine->zone];
    plan_.placements.push_back({slot.machine->id, job.id});
  }

  // Services take the least loaded fitting machine, holders first.
  void place_service(const Job& job) {
    const JobSpec& spec = job.spec();
    for (std::uint32_t left = std::min(job.waiting(), team_room(spec)); left > 0; --left) {
      Slot* best = nullptr;
      for (auto& slot : slots_)
        if (fits(slot, spec) && (best == nullptr || better_for_service(spec, slot, *best)))
          best = &slot;
      if (best != nullptr) {
        commit(*best, spec);
      } else {
        make_room(job);
      }
    }
  }

  static double share_used(const Slot& slot) {
    return 1.0 - static_cast<double>(slot.room.cpus) /
                     static_cast<double>(std::max<std::int64_t>(1, slot.machine->size.cpus));
  }

  static bool better_for_service(const JobSpec& job, const Slot& a, const Slot& b) {
    const bool a_holds = a.images.contains(job.image);
    const bool b_holds = b.images.contains(job.image);
    if (a_holds != b_holds) return a_holds;
    return share_used(a) < share_used(b);
  }

  // Stops lower work where that frees a place, the least of it. Room already on its way counts.
  void make_room(const Job& waiting) {
    const JobSpec& job = waiting.spec();
    for (auto& slot : slots_) {
      Resources coming = slot.room;
      coming += slot.stopping;
      if (!may_run_on(job, *slot.machine) || !zone_allows(job, slot.machine->zone) ||
          !job.each.fits(coming))
        continue;
      slot.stopping -= job.each;
      return;
    }
    Slot* best = nullptr;
    std::vector<const Placement*> least;
    for (auto& slot : slots_) {
      if (!may_run_on(job, *slot.machine) || !zone_allows(job, slot.machine->zone)) continue;
      auto victims = victims_on(slot, waiting);
      if (victims.empty() || (best != nullptr && victims.size() >= least.size())) continue;
      best = &slot;
      least = std::move(victims);
    }
    if (best == nullptr) return;
    for (const Placement* each : least) {
      stopped_.insert(each);
      best->stopping += each->each;
      plan_.stops.push_back({best->machine->id, each->job, each->index, each->attempt});
    }
    best->stopping -= job.each;
  }

  std::vector<const Placement*> victims_on(const Slot& slot, const Job& waiting) const {
    const JobSpec& job = waiting.spec();
    std::vector<const Placement*> candidates;
    for (const auto& placement : slot.machine->placements) {
      const auto owner = model_.jobs.find(placement.job);
      if (owner == model_.jobs.end() || placement.stopping || stopped_.contains(&placement) ||
          placement.phase == PlacementPhase::exited)
        continue;
      if (yields_to(owner->second, waiting)) candidates.push_back(&placement);
    }
    // The youngest lose the least.
    std::sort(candidates.begin(), candidates.end(),
              [](auto* a, auto* b) { return a->since_s > b->since_s; });
    std::vector<const Placement*> chosen;
    Resources room = slot.room;
    room += slot.stopping;
    for (const Placement* each : candidates) {
      if (job.each.fits(room)) break;
      room += each->each;
      chosen.push_back(each);
    }
    if (!job.each.fits(room)) chosen.clear();
    return chosen;
  }

  // One merged batch of arrays, planned as a whole; its front goes to the machines now.
  void place_batch(const std::vector<const Job*>& batch) {
    std::vector<LablServer> servers;
    for (const auto& slot : slots_) servers.push_back({slot.load});
    std::vector<LablJob> jobs;
    std::map<std::string, Resources> before = used_;
    for (const Job* job : batch) jobs.push_back(labl_job(*job));
    used_ = before;
    const LablPlan plan = plan_labl(std::move(jobs), servers, context_.weights);
    for (const auto& each : plan.assignments) {
      const JobSpec& spec = batch[each.job]->spec();
      Slot& slot = slots_[each.server];
      if (!fits(slot, spec) || team_room(spec) == 0) continue;
      slot.load += believed_run_s(spec) / static_cast<double>(std::max<std::int64_t>(
                                              1, spec.each.times_in(slot.for_arrays)));
      commit(slot, spec);
    }
  }

  // What a team has been promised is taken back from teams that borrow, for arrays too.
  void claim_guarantees(const std::vector<const Job*>& batch) {
    std::map<std::string, std::uint32_t> placed;
    for (const auto& each : plan_.placements) ++placed[each.job];
    for (const Job* job : batch) {
      if (!guaranteed_.contains(job)) continue;
      const std::uint32_t left = job->waiting() - placed[job->spec().id];
      for (std::uint32_t i = 0; i < std::min(left, team_room(job->spec())); ++i) make_room(*job);
    }
  }

  LablJob labl_job(const Job& job) {
    const JobSpec& spec = job.spec();
    LablJob out;
    std::int64_t abreast_all = 0;
    const std::string only = spec.one_zone ? chosen_zone(spec) : "";
    for (const auto& slot : slots_) {
      const auto abreast = spec.each.times_in(slot.for_arrays);
      const bool allowed = abreast > 0 && may_run_on(spec, *slot.machine) &&
                           zone_allows(spec, slot.machine->zone) &&
                           (only.empty() || only == slot.machine->zone);
      out.unit.push_back(allowed ? believed_run_s(spec) / static_cast<double>(abreast) : 0);
      out.holder.push_back(slot.images.contains(spec.image) ? 1 : 0);
      if (allowed) abreast_all += abreast;
    }
    // Jobs enter by arrival within their team's limit; and nothing is gained by planning more
    // waves ahead than a replan will leave standing.
    const auto most =
        static_cast<std::uint32_t>(std::min<std::int64_t>(2 * abreast_all, constants::max_tasks));
    out.count = std::min({job.waiting(), team_room(spec), most});
    for (std::uint32_t i = 0; i < out.count; ++i) used_[spec.team] += spec.each;
    return out;
  }

  // The zone with the most room, for a job that must stay together and is nowhere yet.
  std::string chosen_zone(const JobSpec& job) const {
    std::map<std::string, std::int64_t> room;
    for (const auto& slot : slots_)
      if (may_run_on(job, *slot.machine) && zone_allows(job, slot.machine->zone))
        room[slot.machine->zone] += job.each.times_in(slot.for_arrays);
    const auto best = std::max_element(
        room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return best == room.end() ? "" : best->first;
  }

  const Model& model_;
  const PlanningContext& context_;
  std::vector<Slot> slots_;
  std::map<std::string, Resources> limits_;
  std::map<std::string, Resources> used_;
  std::map<std::string, std::map<std::string, std::uint32_t>> in_zone_;
  std::set<const Placement*> stopped_;
  std::set<const Job*> guaranteed_;
  Plan plan_;
};

}  // namespace

Plan make_plan(const Model& model, const PlanningContext& context) {
  return Planning(model, context).run();
}

}  // namespace poppystile::planning
