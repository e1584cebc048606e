#include "planning/autoscaler/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "constants.hpp"
#include "planning/planner.hpp"

namespace poppystile::planning {

using cluster::ClusterState;
using cluster::Job;
using cluster::Machine;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::MachineType;
using protocol::Resources;

namespace {

// Room that exists or is booting, as the packing uses it up.
struct Bin {
  Machine like;  // only type, zone and spot matter
  Resources room;
  const Machine* machine = nullptr;  // nothing: asked for, or about to be
  std::int64_t services = 0;         // cores that its services hold
};

class Sizing {
 public:
  Sizing(const ClusterState& cluster_state, const ScalingContext& context)
      : cluster_state_(cluster_state), context_(context) {
    for (const auto& [id, machine] : cluster_state.machines) {
      demand_ += machine.used.cpus;
      if (is_overdue(machine)) ++overdue_[{machine.type, machine.zone, machine.spot}];
      if (!counts(machine)) continue;
      if (machine.draining) {
        draining_ = true;
        continue;
      }
      bins_.push_back({bare(machine.type, machine.zone, machine.spot), machine.room(), &machine,
                       services_on(machine)});
      ++present_[{machine.type, machine.zone, machine.spot}];
    }
    for (const auto& each : context.pending)
      for (int i = 0; i < each.count; ++i) add_bin(each.offer);
  }

  ScalingPlan run() {
    std::vector<const Job*> jobs;
    for (const auto& [id, job] : cluster_state_.jobs)
      if (!job.record.cancelled) jobs.push_back(&job);
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      if (a->spec().kind != b->spec().kind) return a->spec().kind == JobKind::service;
      if (a->spec().priority != b->spec().priority) return a->spec().priority > b->spec().priority;
      return a->spec().id < b->spec().id;  // the same picture always gives the same plan
    });
    note_team_use();
    for (const Job* job : jobs) {
      replicas_wait_ =
          replicas_wait_ || (job->spec().kind == JobKind::service && job->schedulable_tasks() > 0);
      if (job->is_gang()) {
        pack_gang(job->spec(), wanted(*job), Need::waiting);
      } else {
        pack(job->spec(), wanted(*job), Need::waiting, true);
      }
    }
    pack_reserve(jobs);
    pack_gang_reserve();
    ScalingPlan plan;
    plan.demand_cpus = demand_;
    plan.uncordon = draining_for(jobs);
    if (!plan.uncordon.empty()) return plan;
    for (const auto& [offer, count] : rentals_)
      plan.rent.push_back({offer, std::min(count, constants::max_rented_machines)});
    std::stable_sort(plan.rent.begin(), plan.rent.end(),
                     [](const auto& a, const auto& b) { return a.count > b.count; });
    for (const auto& [id, machine] : cluster_state_.machines)
      if (machine.draining && !machine.releasing && machine.placements.empty())
        plan.release.push_back(id);
    if (plan.rent.empty()) choose_drains(plan);
    return plan;
  }

 private:
  // Whether a machine is there, or booting, to take work. One that is overdue may never come up:
  // what is needed is rented again meanwhile.
  bool counts(const Machine& machine) const {
    return !machine.releasing && !machine.preemption_noticed && !machine.quarantined &&
           !machine.lease_expired && !machine.is_unresponsive && !is_overdue(machine);
  }

  bool is_overdue(const Machine& machine) const {
    return machine.incarnation == 0 && machine.boot_time > Seconds{0} &&
           context_.wall_now - machine.rented_at > constants::boot_latest_share * machine.boot_time;
  }

  static Machine bare(const std::string& type, const std::string& zone, bool spot) {
    Machine machine;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    return machine;
  }

  const MachineType* type_of(const std::string& name) const {
    for (const auto& each : *context_.types)
      if (each.name == name) return &each;
    return nullptr;
  }

  void add_bin(const Offer& offer) {
    if (const MachineType* type = type_of(offer.type)) {
      bins_.push_back({bare(offer.type, offer.zone, offer.spot), type->size});
      ++present_[offer];
    }
  }

  void note_team_use() {
    for (const auto& team : *context_.teams) {
      const auto use = cluster_state_.teams.find(team.name);
      const auto used = use == cluster_state_.teams.end() ? 0 : use->second.used.cpus;
      team_left_[team.name] =
          team.cpus_max > 0 ? std::llround(team.cpus_max * 1000) - used : std::int64_t{1} << 60;
    }
  }

  // Tasks that need a place of their own soon. Arrays with time to spare share places: as many
  // are wanted abreast as finish the work within the time that is left.
  std::uint32_t wanted(const Job& job) const {
    const JobSpec& spec = job.spec();
    if (spec.kind != JobKind::array) return job.schedulable_tasks();
    const Seconds expected = expected_run_time(spec);
    const Seconds age = context_.wall_now - job.record.accepted_at;
    const Seconds left = spec.deadline ? *spec.deadline - age : 3 * expected;
    const double waves = std::clamp(left / expected, 1.0, 4.0);
    return static_cast<std::uint32_t>(std::ceil(job.schedulable_tasks() / waves));
  }

  // Whose room is being looked for.
  enum class Need : std::uint8_t { waiting, reserve };

  void pack(const JobSpec& spec, std::uint32_t count, Need need, bool quick) {
    auto& left = team_left_[spec.team];
    if (spec.each.cpus > 0)
      count = static_cast<std::uint32_t>(std::clamp<std::int64_t>(left / spec.each.cpus, 0, count));
    left -= spec.each.cpus * count;
    demand_ += spec.each.cpus * count;
    for (auto& bin : bins_) {
      if (count == 0) return;
      if (may_run_on(spec, bin.like)) count -= fill(bin, spec, count);
    }
    while (count > 0) {
      const auto offer = cheapest(spec, quick);
      if (!offer) {
        if (need == Need::waiting) unplaced_.insert(spec.id);
        return;
      }
      add_bin(*offer);
      const auto placed = fill(bins_.back(), spec, count);
      if (placed == 0) return;
      count -= placed;
      ++rentals_[*offer];
    }
  }

  // Where its tasks must be in one zone, that zone is chosen first.
  void pack_gang(const JobSpec& spec, std::uint32_t count, Need need) {
    if (count == 0) return;
    JobSpec placed = spec;
    if (spec.one_zone && !spec.zone) placed.zone = zone_for(spec, count);
    pack(placed, count, need, true);
  }

  // The zone with the most room for the job; where it is too little, only zones count in which
  // machines can be rented, if there are any.
  std::optional<std::string> zone_for(const JobSpec& spec, std::uint32_t count) const {
    std::map<std::string, std::int64_t> room;
    for (const auto& type : *context_.types)
      for (const auto& zone : type.zones) room[zone];
    for (const auto& bin : bins_)
      if (may_run_on(spec, bin.like)) room[bin.like.zone] += spec.each.times_in(bin.room);
    std::optional<std::string> best;
    bool best_serves = false;
    for (const auto& [zone, tasks] : room) {
      JobSpec there = spec;
      there.zone = zone;
      const bool serves = tasks >= count || cheapest(there, true).has_value();
      if (best && (best_serves > serves || (best_serves == serves && room.at(*best) >= tasks)))
        continue;
      best = zone;
      best_serves = serves;
    }
    return best;
  }

  static std::uint32_t fill(Bin& bin, const JobSpec& spec, std::uint32_t count) {
    const auto fits =
        static_cast<std::uint32_t>(std::min<std::int64_t>(spec.each.times_in(bin.room), count));
    for (std::uint32_t i = 0; i < fits; ++i) bin.room -= spec.each;
    return fits;
  }

  // Draining machines that are wanted again: all of them when others would have to be rented, and
  // those that fit what cannot be rented, since a machine that cannot be emptied drains for ever.
  std::vector<std::string> draining_for(const std::vector<const Job*>& jobs) const {
    std::vector<std::string> out;
    if (!draining_) return out;
    for (const auto& [id, each] : cluster_state_.machines) {
      const Machine& machine = each;
      if (!machine.draining || !counts(machine)) continue;
      const auto takes = [&](const Job* job) {
        return unplaced_.contains(job->spec().id) && may_run_on(job->spec(), machine) &&
               job->spec().each.fits(machine.room());
      };
      if (!rentals_.empty() || std::any_of(jobs.begin(), jobs.end(), takes)) out.push_back(id);
    }
    return out;
  }

  std::optional<Offer> cheapest(const JobSpec& spec, bool quick) const {
    std::optional<Offer> best;
    double least = 0;
    for (const auto& type : *context_.types) {
      const auto abreast = spec.each.times_in(type.size);
      if (abreast <= 0) continue;
      for (const auto& zone : type.zones)
        for (const bool spot : {false, true}) {
          const Offer offer{type.name, zone, spot};
          if (!may_run_on(spec, bare(type.name, zone, spot)) || context_.refused.contains(offer))
            continue;
          // Fewer of a kind already there is preferred a little: no zone should hold everything.
          const double price = (spot ? type.spot_price : type.price) / static_cast<double>(abreast);
          const double score = price * (1 + constants::kind_spread * present_share(offer)) *
                               (1 + overdue_share(offer)) * (quick ? delay_factor(spec, type) : 1);
          if (!best || score < least) {
            best = offer;
            least = score;
          }
        }
    }
    return best;
  }

  // A service counts from its submission on, so a type that boots and fetches slowly is worth less
  // to it. Arrays wait for their deadline anyway.
  static double delay_factor(const JobSpec& spec, const MachineType& type) {
    if (spec.kind != JobKind::service) return 1;
    const Seconds delay = type.boot_time + Seconds{spec.image_gb / type.fetch_gb_per_s};
    return std::exp2(delay / constants::service_delay_worth);
  }

  // Of the machines of this kind, those that are overdue: another type or zone may do better.
  double overdue_share(const Offer& offer) const {
    const auto found = overdue_.find(offer);
    if (found == overdue_.end()) return 0;
    const auto there = present_.find(offer);
    const int all = found->second + (there == present_.end() ? 0 : there->second);
    return static_cast<double>(found->second) / all;
  }

  // Of all machines, those of this kind.
  double present_share(const Offer& offer) const {
    const auto found = present_.find(offer);
    if (found == present_.end()) return 0;
    return static_cast<double>(found->second) / static_cast<double>(bins_.size() + 1);
  }

  // Room for the services that come next, in the shape of the largest class now running. While
  // replicas wait it is what the next of them will take, so it must be quick as well as cheap.
  void pack_reserve(const std::vector<const Job*>& jobs) {
    std::map<std::string, std::pair<const JobSpec*, double>> classes;
    for (const Job* job : jobs) {
      if (job->spec().kind != JobKind::service) continue;
      auto& [spec, tasks] = classes[job->spec().job_class];
      spec = &job->spec();
      tasks += job->spec().tasks;
    }
    for (const auto& [name, entry] : classes) {
      JobSpec shape = *entry.first;
      shape.zone.reset();
      pack(shape, static_cast<std::uint32_t>(std::ceil(entry.second * context_.service_reserve)),
           Need::reserve, replicas_wait_);
    }
  }

  // Room for the next gang of each class that came lately, as large as the largest of them.
  void pack_gang_reserve() {
    for (const auto& [name, recent] : cluster_state_.recent_gangs)
      if (context_.wall_now - recent.last_submitted_at < constants::gang_room_kept_for)
        pack_gang(recent.largest, recent.largest.tasks, Need::reserve);
  }

  // The job of a replica that is there; nothing for an array's task or what has exited.
  const JobSpec* service_of(const cluster::Placement& placement) const {
    const auto job = cluster_state_.jobs.find(placement.job);
    if (placement.phase == cluster::PlacementPhase::exited || job == cluster_state_.jobs.end() ||
        job->second.spec().kind != JobKind::service)
      return nullptr;
    return &job->second.spec();
  }

  std::int64_t services_on(const Machine& machine) const {
    std::int64_t cpus = 0;
    for (const auto& each : machine.placements)
      if (service_of(each) != nullptr) cpus += each.each.cpus;
    return cpus;
  }

  double price_per_cpu(const Machine& machine) const {
    const MachineType* type = type_of(machine.type);
    if (type == nullptr) return 0;
    return (machine.spot ? type->spot_price : type->price) /
           static_cast<double>(std::max<std::int64_t>(1, type->size.cpus));
  }

  // What exceeds the highest demand of late: machines without services first, the dearest of
  // them; then those whose few services fit elsewhere. They run empty and are given back.
  void choose_drains(ScalingPlan& plan) {
    struct Candidate {
      Bin* bin;
      std::int64_t services;
      double price;
    };
    std::vector<Candidate> candidates;
    std::int64_t supply = 0;
    for (auto& bin : bins_) {
      if (bin.machine == nullptr) continue;
      supply += bin.machine->size.cpus;
      // Room that the packing has used is spoken for.
      if (!bin.machine->has_reported || bin.room.cpus != bin.machine->room().cpus) continue;
      candidates.push_back({&bin, bin.services, price_per_cpu(*bin.machine)});
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
      return std::make_tuple(a.services, -a.price, a.bin->machine->used.cpus) <
             std::make_tuple(b.services, -b.price, b.bin->machine->used.cpus);
    });
    auto excess = supply - static_cast<std::int64_t>(static_cast<double>(context_.peak_cpus) *
                                                     constants::fleet_headroom);
    auto most = static_cast<int>(
        std::ceil(static_cast<double>(candidates.size()) * constants::drain_share));
    for (const auto& each : candidates) {
      const Machine& machine = *each.bin->machine;
      if (most == 0) return;
      if (machine.size.cpus > excess) continue;
      if (each.services > 0 && !moves_elsewhere(*each.bin)) continue;
      // A machine that a move was counted on is not emptied itself.
      if (each.bin->room.cpus != machine.room().cpus) continue;
      each.bin->room = {};
      excess -= machine.size.cpus;
      --most;
      plan.drain.push_back(machine.id);
    }
  }

  // Whether the services of a machine fit into the room of others; if so that room is taken.
  bool moves_elsewhere(Bin& from) {
    const Machine& machine = *from.machine;
    if (static_cast<double>(from.services) >
        constants::move_share * static_cast<double>(machine.size.cpus))
      return false;
    std::vector<std::pair<Bin*, Resources>> taken;
    for (const auto& each : machine.placements) {
      const JobSpec* service = service_of(each);
      if (service == nullptr) continue;
      const JobSpec& spec = *service;
      const auto to = std::find_if(bins_.begin(), bins_.end(), [&](const Bin& bin) {
        return &bin != &from && bin.machine != nullptr && bin.machine->has_reported &&
               bin.machine->holds(spec.image) && bin.services > 0 && may_run_on(spec, bin.like) &&
               spec.each.fits(bin.room);
      });
      if (to == bins_.end()) {
        for (auto& [bin, room] : taken) bin->room += room;
        return false;
      }
      to->room -= spec.each;
      taken.emplace_back(&*to, spec.each);
    }
    return true;
  }

  const ClusterState& cluster_state_;
  const ScalingContext& context_;
  std::vector<Bin> bins_;
  std::map<Offer, int> present_;  // there or booting
  std::map<Offer, int> overdue_;  // booting for longer than usual
  std::map<Offer, int> rentals_;
  std::map<std::string, std::int64_t> team_left_;
  std::set<std::string> unplaced_;  // jobs for which there is no room and no offer
  std::int64_t demand_ = 0;
  bool draining_ = false;
  bool replicas_wait_ = false;
};

}  // namespace

ScalingPlan plan_scaling(const ClusterState& cluster_state, const ScalingContext& context) {
  return Sizing(cluster_state, context).run();
}

}  // namespace poppystile::planning
