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
  return machine.heard && machine.confirmed && !machine.suspect && !machine.late &&
         !machine.releasing && !machine.draining && !machine.recalled && !machine.quarantined &&
         machine.avoid_until_s <= now_s;
}

double believed_run_s(const JobSpec& job) {
  return std::max(job.estimate_s, constants::least_estimate_s);
}

std::optional<double> due_s(const JobSpec& job, const std::vector<protocol::FinishAim>& aims) {
  if (job.deadline_s) return job.deadline_s;
  std::optional<double> due;
  for (const auto& aim : aims)
    if (aim.job_class == job.job_class) due = std::min(due.value_or(aim.within_s), aim.within_s);
  return due;
}

namespace {

// Where a job stands in the batch: the lower rank first, then the earlier time.
struct Turn {
  int rank = 0;
  double at_s = 0;
};

// A machine as the plan changes it.
struct Slot {
  const Machine* machine = nullptr;
  Resources room;
  Resources for_arrays;  // its size less what services hold
  std::size_t entries = 0;
  std::vector<std::string> coming;  // images being fetched, or about to be
  double load = 0;                  // seconds of array work, see design.md on the unit
  Resources stopping;               // room that is on its way

  bool fetches(const std::string& image) const {
    return std::find(coming.begin(), coming.end(), image) != coming.end();
  }
  // A fetch under way serves every task that waits for the image.
  bool holds(const std::string& image) const { return machine->holds(image) || fetches(image); }
};

class Planning {
 public:
  Planning(const Model& model, const PlanningContext& context) : model_(model), context_(context) {
    for (const auto& team : *context.teams) {
      limits_[team.name] = {std::llround(team.cpus_max * 1000), std::llround(team.gpus_max * 1000),
                            0};
      const auto use = model.teams.find(team.name);
      if (use != model.teams.end()) used_[team.name] = use->second.used;
    }
  }

  Plan run() {
    std::vector<const Job*> services;
    std::map<int, std::vector<const Job*>, std::greater<>> arrays;
    std::vector<const Job*> starved;
    for (const auto& [id, job] : model_.jobs) {
      if (job.record.cancelled || job.to_try() == 0) continue;
      if (job.retry_at_s > context_.now_s) continue;
      if (job.spec().kind == JobKind::service) {
        services.push_back(&job);
      } else if (has_starved(job)) {
        starved.push_back(&job);
      } else {
        arrays[static_cast<int>(job.spec().priority)].push_back(&job);
      }
    }
    if (services.empty() && arrays.empty() && starved.empty()) return {};
    find_guaranteed();
    for (const auto& [id, machine] : model_.machines)
      if (takes_tasks(machine, context_.now_s)) slots_.push_back(slot_of(machine));
    for (const auto& [priority, batch] : arrays)
      for (const Job* job : batch) turns_[job] = turn_of(*job);
    std::stable_sort(starved.begin(), starved.end(), earlier);
    const auto comes_first = [this](const Job* a, const Job* b) { return before(a, b); };
    std::stable_sort(services.begin(), services.end(), comes_first);
    for (const Job* job : services) place_service(*job);
    // The first of jobs that have waited long, of whatever priority: nothing may starve.
    place_batches(starved);
    for (auto& [priority, batch] : arrays) {
      std::stable_sort(batch.begin(), batch.end(), comes_first);
      place_batches(batch);
      claim_guarantees(batch);
      fill_holders(batch);
    }
    return std::move(plan_);
  }

 private:
  bool before(const Job* a, const Job* b) const {
    if (a->spec().priority != b->spec().priority) return a->spec().priority > b->spec().priority;
    const bool a_guaranteed = guaranteed_.contains(a);
    if (a_guaranteed != guaranteed_.contains(b)) return a_guaranteed;
    const auto a_turn = turns_.find(a);
    const auto b_turn = turns_.find(b);
    if (a_turn != turns_.end() && b_turn != turns_.end()) {
      const Turn& x = a_turn->second;
      const Turn& y = b_turn->second;
      if (x.rank != y.rank) return x.rank < y.rank;
      if (x.at_s != y.at_s) return x.at_s < y.at_s;
    }
    return earlier(a, b);
  }

  // Arrays that can still be nearly in time go by the latest start that is; what is overdue goes
  // after them, by age.
  Turn turn_of(const Job& job) const {
    const double submitted = job.record.accepted_wall_s;
    const double due = constants::late_due *
                       due_s(job.spec(), *context_.finish_aims).value_or(constants::default_due_s);
    const double latest = submitted + due - believed_run_s(job.spec());
    if (context_.now_wall_s <= latest) return {1, latest};
    return {2, submitted};
  }

  bool has_starved(const Job& job) const {
    return job.waiting() == job.spec().tasks &&
           context_.now_wall_s - job.record.accepted_wall_s > constants::starved_s;
  }

  // Ids break ties, so that the same picture always gives the same plan.
  static bool earlier(const Job* a, const Job* b) {
    if (a->record.accepted_wall_s != b->record.accepted_wall_s)
      return a->record.accepted_wall_s < b->record.accepted_wall_s;
    return a->spec().id < b->spec().id;
  }

  // A job is within its team's guarantee when it fits into it together with the team's earlier
  // unfinished jobs.
  void find_guaranteed() {
    std::map<std::string, std::vector<const Job*>> by_team;
    for (const auto& [id, job] : model_.jobs)
      if (!job.record.cancelled) by_team[job.spec().team].push_back(&job);
    for (const auto& team : *context_.teams) {
      auto& jobs = by_team[team.name];
      std::sort(jobs.begin(), jobs.end(), earlier);
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

  Slot slot_of(const Machine& machine) {
    Slot slot;
    slot.machine = &machine;
    slot.room = machine.room();
    slot.for_arrays = machine.size;
    slot.entries = machine.placements.size();
    for (const auto& placement : machine.placements) {
      if (placement.phase == PlacementPhase::exited) continue;
      if (placement.stopping) slot.stopping += placement.each;
      const auto job = model_.jobs.find(placement.job);
      if (job == model_.jobs.end() || job->second.spec().kind == JobKind::service)
        slot.for_arrays -= placement.each;
      if (job != model_.jobs.end() && job->second.spec().kind == JobKind::service)
        ++class_zones_[job->second.spec().job_class][machine.zone];
      const bool before_run = placement.phase == PlacementPhase::assigned ||
                              placement.phase == PlacementPhase::fetching;
      if (before_run && job != model_.jobs.end() && !slot.holds(job->second.spec().image))
        slot.coming.push_back(job->second.spec().image);
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

  // Tasks of a job in each zone, with those of this plan.
  std::map<std::string, std::uint32_t>& in_zone(const JobSpec& job) {
    const auto [found, fresh] = in_zone_.try_emplace(job.id);
    if (fresh)
      for (const auto& [index, machine] : model_.jobs.at(job.id).places)
        ++found->second[machine->zone];
    return found->second;
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

  bool zone_allows(const JobSpec& job, const std::string& zone) {
    if (!job.one_zone && !job.spread) return true;
    const auto& zones = in_zone(job);
    if (job.one_zone)
      for (const auto& [other, count] : zones)
        if (count > 0 && other != zone) return false;
    if (!job.spread) return true;
    const auto here = zones.find(zone);
    return here == zones.end() || here->second < (job.tasks + 1) / 2;
  }

  bool fits(const Slot& slot, const JobSpec& job) {
    return slot.entries < constants::max_tasks_per_machine && job.each.fits(slot.room) &&
           may_run_on(job, *slot.machine) && zone_allows(job, slot.machine->zone);
  }

  void commit(Slot& slot, const JobSpec& job) {
    slot.room -= job.each;
    if (job.kind == JobKind::service) {
      slot.for_arrays -= job.each;
      ++class_zones_[job.job_class][slot.machine->zone];
    }
    ++slot.entries;
    if (!slot.holds(job.image)) slot.coming.push_back(job.image);
    used_[job.team] += job.each;
    if (job.one_zone || job.spread) ++in_zone(job)[slot.machine->zone];
    plan_.placements.push_back({slot.machine->id, job.id});
  }

  // Services take the machine on which they are up soonest, holders first, the least loaded of
  // those.
  void place_service(const Job& job) {
    const JobSpec& spec = job.spec();
    for (std::uint32_t left = std::min(job.to_try(), team_room(spec)); left > 0; --left) {
      Slot* best = nullptr;
      double least = 0;
      for (auto& slot : slots_) {
        if (!fits(slot, spec)) continue;
        const double delay = service_delay_s(spec, slot);
        if (best != nullptr && delay >= least) continue;
        best = &slot;
        least = delay;
      }
      if (best != nullptr) {
        commit(*best, spec);
      } else if (!make_room(job)) {
        return;
      }
    }
  }

  // Seconds until a replica would be up there; and a little less on machines that have services
  // already, which keeps others free to be given back, and in zones that have fewer of the class.
  double service_delay_s(const JobSpec& job, const Slot& slot) {
    const Machine& machine = *slot.machine;
    const double arrays_share = static_cast<double>(slot.for_arrays.cpus) /
                                static_cast<double>(std::max<std::int64_t>(1, machine.size.cpus));
    double delay = constants::pack_worth_reports * context_.report_s * arrays_share;
    delay += constants::zone_worth_reports * context_.report_s * zone_share(job, machine.zone);
    // The start goes with the answer to its next report.
    delay +=
        std::clamp(machine.heard_s + context_.report_s - context_.now_s, 0.0, context_.report_s);
    if (!machine.holds(job.image)) {
      const auto fetches = slot.coming.size() + (slot.fetches(job.image) ? 0 : 1);
      delay += job.image_gb / machine.fetch_gb_per_s * static_cast<double>(fetches);
    }
    return delay;
  }

  // Of the class's replicas, those in this zone.
  double zone_share(const JobSpec& job, const std::string& zone) {
    const auto& zones = class_zones_[job.job_class];
    std::uint32_t all = 1;
    for (const auto& [name, count] : zones) all += count;
    const auto here = zones.find(zone);
    return here == zones.end() ? 0.0 : static_cast<double>(here->second) / all;
  }

  // Stops lower work where that frees a place, the least of it. Room already on its way counts.
  // False when there is none, or when this plan has looked often enough.
  bool make_room(const Job& waiting) {
    const JobSpec& job = waiting.spec();
    for (auto& slot : slots_) {
      if (slot.stopping.cpus <= 0) continue;
      Resources coming = slot.room;
      coming += slot.stopping;
      if (!may_run_on(job, *slot.machine) || !zone_allows(job, slot.machine->zone) ||
          !job.each.fits(coming))
        continue;
      slot.stopping -= job.each;
      return true;
    }
    if (++looks_for_room_ > constants::most_looks_for_room) return false;
    Slot* best = nullptr;
    std::vector<const Placement*> least;
    for (auto& slot : slots_) {
      if (!may_run_on(job, *slot.machine) || !zone_allows(job, slot.machine->zone)) continue;
      auto victims = victims_on(slot, waiting);
      if (victims.empty() || (best != nullptr && victims.size() >= least.size())) continue;
      best = &slot;
      least = std::move(victims);
      if (least.size() == 1) break;
    }
    if (best == nullptr) return false;
    for (const Placement* each : least) {
      stopped_.insert(each);
      best->stopping += each->each;
      plan_.stops.push_back({best->machine->id, each->job, each->index, each->attempt});
    }
    best->stopping -= job.each;
    return true;
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

  // Merged batches of arrays, each planned as a whole. Jobs enter in their order until they could
  // fill the room that there is. What a batch leaves free, because its tasks are better off waiting
  // for a holder, goes to a batch of those that come next.
  void place_batches(const std::vector<const Job*>& jobs) {
    std::map<const Job*, std::uint32_t> entered;
    for (int round = 0; round < constants::most_batches; ++round)
      if (!place_batch(jobs, entered)) return;
  }

  // The plan may leave a task to wait for a full holder where another holder has room: it starts
  // there now, for nothing is gained by waiting.
  void fill_holders(const std::vector<const Job*>& jobs) {
    std::vector<Slot*> roomy;
    for (auto& slot : slots_)
      if (slot.room.cpus > 0) roomy.push_back(&slot);
    std::map<std::string, std::uint32_t> placed;
    for (const auto& each : plan_.placements) ++placed[each.job];
    for (const Job* job : jobs) {
      const JobSpec& spec = job->spec();
      std::uint32_t left = job->to_try() - std::min(job->to_try(), placed[spec.id]);
      for (Slot* slot : roomy)
        for (; left > 0 && slot->holds(spec.image) && fits(*slot, spec) && team_room(spec) > 0;
             --left)
          commit(*slot, spec);
    }
  }

  bool place_batch(const std::vector<const Job*>& batch,
                   std::map<const Job*, std::uint32_t>& entered) {
    std::int64_t left = 0;
    std::vector<LablServer> servers;
    for (const auto& slot : slots_) {
      servers.push_back({slot.load});
      left += std::max<std::int64_t>(0, slot.room.cpus);
    }
    std::vector<LablJob> jobs;
    std::vector<const JobSpec*> specs;
    const std::map<std::string, Resources> before = used_;
    for (const Job* job : batch) {
      if (left <= 0) break;
      LablJob next = labl_job(*job, entered[job]);
      if (next.count == 0) continue;
      entered[job] += next.count;
      left -= job->spec().each.cpus * next.count;
      jobs.push_back(std::move(next));
      specs.push_back(&job->spec());
    }
    used_ = before;
    if (jobs.empty()) return false;
    const LablPlan plan = plan_labl(std::move(jobs), servers, context_.weights);
    for (const auto& each : plan.assignments) {
      const JobSpec& spec = *specs[each.job];
      Slot& slot = slots_[each.server];
      if (!fits(slot, spec) || team_room(spec) == 0) continue;
      slot.load += believed_run_s(spec) / static_cast<double>(std::max<std::int64_t>(
                                              1, spec.each.times_in(slot.for_arrays)));
      commit(slot, spec);
    }
    return true;
  }

  // What a team has been promised starts wherever there is room, also where it has to fetch; only
  // then is room taken back from teams that borrow. Were it left to wait for a holder, others
  // would take the room that was freed for it, and lose it again.
  void claim_guarantees(const std::vector<const Job*>& batch) {
    std::map<std::string, std::uint32_t> placed;
    for (const auto& each : plan_.placements) ++placed[each.job];
    for (const Job* job : batch) {
      if (!guaranteed_.contains(job)) continue;
      const JobSpec& spec = job->spec();
      std::uint32_t left =
          std::min(job->to_try() - std::min(job->to_try(), placed[spec.id]), team_room(spec));
      while (left > 0 && place_anywhere(spec)) --left;
      while (left > 0 && make_room(*job)) --left;
    }
  }

  bool place_anywhere(const JobSpec& job) {
    Slot* best = nullptr;
    double least = 0;
    for (auto& slot : slots_) {
      if (!fits(slot, job)) continue;
      const double fetch = slot.holds(job.image) ? 0 : job.image_gb / slot.machine->fetch_gb_per_s;
      if (best != nullptr && fetch >= least) continue;
      best = &slot;
      least = fetch;
    }
    if (best == nullptr) return false;
    commit(*best, job);
    return true;
  }

  // `entered`: its tasks that are in an earlier batch of this plan.
  LablJob labl_job(const Job& job, std::uint32_t entered) {
    const JobSpec& spec = job.spec();
    LablJob out;
    std::int64_t abreast_now = 0;
    const std::string only = spec.one_zone ? chosen_zone(spec) : "";
    for (const auto& slot : slots_) {
      const auto abreast = spec.each.times_in(slot.for_arrays);
      const bool allowed = abreast > 0 && may_run_on(spec, *slot.machine) &&
                           zone_allows(spec, slot.machine->zone) &&
                           (only.empty() || only == slot.machine->zone);
      out.unit.push_back(allowed ? believed_run_s(spec) / static_cast<double>(abreast) : 0);
      out.holder.push_back(allowed && slot.holds(spec.image) ? 1 : 0);
      if (allowed) abreast_now += spec.each.times_in(slot.room);
    }
    // Jobs enter by their order within their team's limit.
    const auto most =
        static_cast<std::uint32_t>(std::min<std::int64_t>(abreast_now, constants::max_tasks));
    out.count = std::min({job.to_try() - std::min(job.to_try(), entered), team_room(spec), most});
    if (has_starved(job)) {
      const std::uint32_t part = spec.tasks / constants::starved_part + 1;
      out.count = std::min(out.count, part - std::min(part, entered));
    }
    const std::int64_t count = out.count;
    used_[spec.team] += {spec.each.cpus * count, spec.each.gpus * count, spec.each.memory * count};
    return out;
  }

  // The zone with the most room, for a job that must stay together and is nowhere yet.
  std::string chosen_zone(const JobSpec& job) {
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
  std::map<std::string, std::map<std::string, std::uint32_t>> class_zones_;  // of services
  std::set<const Placement*> stopped_;
  std::set<const Job*> guaranteed_;
  std::map<const Job*, Turn> turns_;
  int looks_for_room_ = 0;
  Plan plan_;
};

}  // namespace

Plan make_plan(const Model& model, const PlanningContext& context) {
  return Planning(model, context).run();
}

}  // namespace poppystile::planning
