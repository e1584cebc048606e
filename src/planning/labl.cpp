#include "planning/labl.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <optional>
#include <utility>

#include "constants.hpp"

namespace poppystile::planning {

namespace {

double mean_unit(const LablJob& job) {
  double sum = 0;
  int servers = 0;
  for (double each : job.unit) {
    if (each <= 0) continue;
    sum += each;
    ++servers;
  }
  return servers == 0 ? 0 : sum / servers;
}

// The batch's unit: what its average task costs where its image is.
double batch_unit(const std::vector<LablJob>& jobs) {
  double sum = 0;
  double tasks = 0;
  for (const auto& job : jobs) {
    const double unit = mean_unit(job);
    if (unit <= 0) continue;
    sum += unit * job.count;
    tasks += job.count;
  }
  return tasks == 0 ? 0 : sum / tasks;
}

// The load of the job's least loaded holder; more than any bound where there is none.
double least_holder_load(const LablJob& job, const std::vector<double>& load) {
  double least = std::numeric_limits<double>::max();
  for (std::size_t s = 0; s < load.size(); ++s)
    if (job.holder[s] && job.unit[s] > 0) least = std::min(least, load[s]);
  return least;
}

class Planner {
 public:
  Planner(std::vector<LablJob> jobs, const std::vector<LablServer>& servers,
          const LablWeights& weights)
      : jobs_(std::move(jobs)), weights_(weights), unit_(batch_unit(jobs_)) {
    double least = std::numeric_limits<double>::max();
    for (const auto& each : servers) least = std::min(least, each.load);
    // The paper's normalisation: some server starts at no load (section 3.1).
    for (const auto& each : servers) plan_.load.push_back(each.load - least);
    holders_.resize(jobs_.size());
    queues_.resize(jobs_.size());
    for (std::size_t j = 0; j < jobs_.size(); ++j) {
      holders_[j] = static_cast<int>(
          std::count(jobs_[j].holder.begin(), jobs_[j].holder.end(), std::uint8_t{1}));
      if (mean_unit(jobs_[j]) <= 0) jobs_[j].count = 0;
      left_ += jobs_[j].count;
    }
  }

  LablPlan run() {
    if (plan_.load.empty() || left_ == 0) return std::move(plan_);
    plan_.start_bound = lower_bound(jobs_, plan_.load, weights_, unit_);
    plan_.bound = plan_.start_bound;
    for (int round = 0; left_ > 0 && round < constants::max_bound_rounds; ++round) {
      const std::uint64_t before = left_;
      fill_nearly_full();
      if (plan_.bound <= plan_.start_bound + weights_.offset * unit_ + constants::bound_slack_units)
        place_remote();
      place_on_holders();
      if (left_ > 0 && !raise_bound(left_ < before)) break;
    }
    return std::move(plan_);
  }

 private:
  double cost(std::size_t j, std::size_t s) const {
    return jobs_[j].unit[s] * (jobs_[j].holder[s] ? weights_.local : weights_.remote);
  }

  void assign(std::size_t j, std::size_t s) {
    const bool remote = !jobs_[j].holder[s];
    plan_.load[s] += cost(j, s);
    plan_.assignments.push_back(
        {static_cast<std::uint32_t>(j), static_cast<std::uint32_t>(s), remote});
    --jobs_[j].count;
    --left_;
    // Ours: the fetch leaves the image behind, so the job's next task there is local.
    if (remote && weights_.fetch_makes_holder) {
      jobs_[j].holder[s] = 1;
      ++holders_[j];
      if (queues_[j][1].made) queues_[j][1].push(plan_.load[s], s);
    }
  }

  // By a unit; by as many as it takes where fewer would place nothing. False: nothing ever will.
  bool raise_bound(bool placed) {
    plan_.bound += unit_;
    if (placed) return true;
    double least = std::numeric_limits<double>::max();
    for (std::size_t j = 0; j < jobs_.size(); ++j)
      if (jobs_[j].count > 0)
        if (const auto s = best_server(j)) least = std::min(least, plan_.load[*s] + cost(j, *s));
    if (least == std::numeric_limits<double>::max()) return false;
    if (least > plan_.bound) plan_.bound += std::ceil((least - plan_.bound) / unit_) * unit_;
    return true;
  }

  // Phase I: servers with less room than a remote task, heaviest first, take the local tasks
  // that have the fewest holders.
  void fill_nearly_full() {
    std::vector<std::size_t> order;
    for (std::size_t s = 0; s < plan_.load.size(); ++s)
      if (plan_.load[s] < plan_.bound && plan_.load[s] > plan_.bound - weights_.remote * unit_)
        order.push_back(s);
    std::stable_sort(order.begin(), order.end(),
                     [&](auto a, auto b) { return plan_.load[a] > plan_.load[b]; });
    for (const auto s : order)
      while (const auto j = most_constrained(s)) assign(*j, s);
  }

  std::optional<std::size_t> most_constrained(std::size_t s) const {
    std::optional<std::size_t> best;
    for (std::size_t j = 0; j < jobs_.size(); ++j) {
      const auto& job = jobs_[j];
      if (job.count == 0 || !job.holder[s] || job.unit[s] <= 0) continue;
      if (plan_.load[s] + cost(j, s) > plan_.bound + constants::bound_slack_units) continue;
      if (!best || holders_[j] < holders_[*best]) best = j;
    }
    return best;
  }

  // Phase II: tasks whose every holder is at the bound go to servers with room for a fetch,
  // the least loaded first.
  void place_remote() {
    for (std::size_t j = 0; j < jobs_.size(); ++j)
      while (jobs_[j].count > 0) {
        const auto holder = least_loaded(j, true);
        if (holder && plan_.load[*holder] < plan_.bound) break;
        const auto s = least_loaded(j, false);
        if (!s || plan_.load[*s] + cost(j, *s) > plan_.bound + constants::bound_slack_units) break;
        assign(j, *s);
      }
  }

  // Phase III: what is left goes to its least loaded holder within the bound.
  void place_on_holders() {
    for (std::size_t j = 0; j < jobs_.size(); ++j)
      while (jobs_[j].count > 0) {
        const auto s = best_server(j);
        if (!s || plan_.load[*s] + cost(j, *s) > plan_.bound + constants::bound_slack_units) break;
        assign(j, *s);
      }
  }

  std::optional<std::size_t> best_server(std::size_t j) {
    const auto holder = least_loaded(j, true);
    const auto other = least_loaded(j, false);
    // Ours: fetch where even a remote task ends before the least loaded holder is free.
    const bool fetch =
        other && (!holder || plan_.load[*other] + cost(j, *other) < plan_.load[*holder]);
    return fetch ? other : holder;
  }

  // A job's servers, the least loaded first. Loads only grow, so an entry that is out of date is
  // put right when it comes to the front.
  struct Queue {
    std::vector<std::pair<double, std::size_t>> heap;
    bool made = false;
    void push(double load, std::size_t s) {
      heap.emplace_back(load, s);
      std::push_heap(heap.begin(), heap.end(), std::greater<>());
    }
    void pop() {
      std::pop_heap(heap.begin(), heap.end(), std::greater<>());
      heap.pop_back();
    }
  };

  std::optional<std::size_t> least_loaded(std::size_t j, bool holder) {
    Queue& queue = queues_[j][holder ? 1 : 0];
    const auto belongs = [&](std::size_t s) { return (jobs_[j].holder[s] != 0) == holder; };
    if (!std::exchange(queue.made, true)) {
      for (std::size_t s = 0; s < plan_.load.size(); ++s)
        if (jobs_[j].unit[s] > 0 && belongs(s)) queue.heap.emplace_back(plan_.load[s], s);
      std::make_heap(queue.heap.begin(), queue.heap.end(), std::greater<>());
    }
    while (!queue.heap.empty()) {
      const auto [load, s] = queue.heap.front();
      if (belongs(s) && load == plan_.load[s]) return s;
      queue.pop();
      if (belongs(s)) queue.push(plan_.load[s], s);
    }
    return std::nullopt;
  }

  std::vector<LablJob> jobs_;
  LablWeights weights_;
  double unit_;
  LablPlan plan_;
  std::vector<int> holders_;
  std::vector<std::array<Queue, 2>> queues_;  // per job: other servers, holders
  std::uint64_t left_ = 0;
};

// What the search for the bound needs of a job, worked out once.
struct JobNeed {
  double count = 0;
  double unit = 0;
  double least_holder = 0;  // load
};

bool bound_suffices(const std::vector<JobNeed>& jobs, const std::vector<double>& load,
                    const LablWeights& weights, double unit, double bound) {
  double forced = 0;
  double needed = 0;
  for (const auto& job : jobs) {
    if (job.unit <= 0) continue;
    const bool local = job.least_holder < bound;
    if (!local) forced += job.count;
    needed += job.count * job.unit * (local ? weights.local : weights.remote);
  }
  double remote_places = 0;
  double room = 0;
  for (double each : load) {
    room += std::max(0.0, bound - each);
    if (bound - each >= weights.remote * unit)
      remote_places +=
          std::floor((bound - each) / (weights.remote * unit) + constants::bound_slack_units);
  }
  return remote_places >= forced && room + constants::bound_slack_units >= needed;
}

}  // namespace

double lower_bound(const std::vector<LablJob>& jobs, const std::vector<double>& load,
                   const LablWeights& weights, double unit) {
  if (unit <= 0) return 0;
  std::vector<JobNeed> needs;
  needs.reserve(jobs.size());
  for (const auto& job : jobs)
    needs.push_back({static_cast<double>(job.count), mean_unit(job), least_holder_load(job, load)});
  std::uint64_t high = 1;
  while (!bound_suffices(needs, load, weights, unit, static_cast<double>(high) * unit) &&
         high < (std::uint64_t{1} << 32))
    high *= 2;
  std::uint64_t low = 0;  // does not suffice
  while (high - low > 1) {
    const auto middle = low + (high - low) / 2;
    (bound_suffices(needs, load, weights, unit, static_cast<double>(middle) * unit) ? high : low) =
        middle;
  }
  return static_cast<double>(high) * unit;
}

LablPlan plan_labl(std::vector<LablJob> jobs, const std::vector<LablServer>& servers,
                   const LablWeights& weights) {
  return Planner(std::move(jobs), servers, weights).run();
}

}  // namespace poppystile::planning
