#include "planning/labl.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "constants.hpp"
#include "planning/labl_lower_bound.hpp"
#include "planning/server_load_heap.hpp"

namespace poppystile::planning {

namespace {

/// The unit in which the latency limit is raised: the mean cost of a local task, over the tasks
/// that a server may run; 0 when there are none.
double mean_task_cost(const std::vector<LablJob>& jobs) {
  double sum = 0;
  double tasks = 0;
  for (const auto& job : jobs) {
    const double local_cost = mean_local_cost(job);
    if (local_cost <= 0) continue;
    sum += local_cost * job.task_count;
    tasks += job.task_count;
  }
  return tasks == 0 ? 0 : sum / tasks;
}

/// Whether a server has the image of a job's tasks.
enum class Locality : bool { remote, local };

/// The algorithm of figure 1. Jobs and servers are identified by their indices in the input.
class LablAssigner {
 public:
  LablAssigner(std::vector<LablJob> jobs, const std::vector<LablServer>& servers,
               const LablWeights& weights)
      : jobs_(std::move(jobs)),
        weights_(weights),
        unit_cost_(mean_task_cost(jobs_)),
        local_server_counts_(jobs_.size()),
        server_heaps_(jobs_.size()) {
    normalise_loads(servers);
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
      const auto& has_image = jobs_[job].has_image;
      local_server_counts_[job] = std::count(has_image.begin(), has_image.end(), std::uint8_t{1});
      if (mean_local_cost(jobs_[job]) <= 0) jobs_[job].task_count = 0;
      unassigned_tasks_ += jobs_[job].task_count;
    }
  }

  LablPlan run() {
    if (plan_.load.empty() || unassigned_tasks_ == 0) return std::move(plan_);
    plan_.lower_bound = labl_lower_bound(jobs_, plan_.load, weights_, unit_cost_);
    plan_.latency_limit = plan_.lower_bound;
    for (int round = 0; unassigned_tasks_ > 0 && round < constants::max_labl_rounds; ++round) {
      const std::uint64_t unassigned_before = unassigned_tasks_;
      run_phase_1();
      if (considers_remote_assignments()) run_phase_2();
      run_phase_3();
      const bool assigned_any = unassigned_tasks_ < unassigned_before;
      if (unassigned_tasks_ > 0 && !raise_latency_limit(assigned_any)) break;
    }
    return std::move(plan_);
  }

 private:
  struct ServerHeaps {
    ServerLoadHeap local;
    ServerLoadHeap remote;
  };

  /// Shifts the loads so that the least loaded server starts at 0, as the paper assumes (3.1).
  void normalise_loads(const std::vector<LablServer>& servers) {
    double min_load = std::numeric_limits<double>::max();
    for (const auto& input : servers) min_load = std::min(min_load, input.load);
    plan_.load.reserve(servers.size());
    for (const auto& input : servers) plan_.load.push_back(input.load - min_load);
  }

  /// Phase I: servers below the limit, but not by enough for a remote task, are filled with local
  /// tasks, the most loaded server first. Each takes tasks of the job with the fewest local
  /// servers.
  void run_phase_1() {
    std::vector<std::size_t> nearly_full;
    for (std::size_t server = 0; server < plan_.load.size(); ++server)
      if (plan_.load[server] < plan_.latency_limit &&
          plan_.load[server] > plan_.latency_limit - weights_.remote * unit_cost_)
        nearly_full.push_back(server);
    std::stable_sort(nearly_full.begin(), nearly_full.end(),
                     [&](auto a, auto b) { return plan_.load[a] > plan_.load[b]; });
    for (const auto server : nearly_full)
      while (const auto job = most_constrained_job(server)) assign(*job, server);
  }

  /// The paper's CONSIDERREMOTEASSIGNMENTS: whether the limit is still so near to the lower bound
  /// that remote tasks are worth their cost.
  bool considers_remote_assignments() const {
    return plan_.latency_limit <=
           plan_.lower_bound + weights_.remote_offset * unit_cost_ + constants::labl_rounding_slack;
  }

  /// Phase II: tasks of jobs without a local server below the limit are assigned to the least
  /// loaded remote servers, as far as these stay within the limit.
  void run_phase_2() {
    for (std::size_t job = 0; job < jobs_.size(); ++job)
      while (jobs_[job].task_count > 0) {
        const auto local_server = least_loaded_server(job, Locality::local);
        if (local_server && plan_.load[*local_server] < plan_.latency_limit) break;
        const auto server = least_loaded_server(job, Locality::remote);
        if (!server || !is_within_limit(job, *server)) break;
        assign(job, *server);
      }
  }

  /// Phase III: the other tasks are assigned to their best server, as far as the limit allows.
  void run_phase_3() {
    for (std::size_t job = 0; job < jobs_.size(); ++job)
      while (jobs_[job].task_count > 0) {
        const auto server = best_server(job);
        if (!server || !is_within_limit(job, *server)) break;
        assign(job, *server);
      }
  }

  /// Raises the limit by one unit or, if the round has assigned nothing, by as many units as the
  /// next assignment needs. Returns false when no server may run any of the unassigned tasks.
  bool raise_latency_limit(bool assigned_any) {
    plan_.latency_limit += unit_cost_;
    if (assigned_any) return true;
    const std::optional<double> sufficient_limit = least_sufficient_limit();
    if (!sufficient_limit) return false;
    if (*sufficient_limit > plan_.latency_limit)
      plan_.latency_limit +=
          std::ceil((*sufficient_limit - plan_.latency_limit) / unit_cost_) * unit_cost_;
    return true;
  }

  /// The least limit that allows another assignment; nothing when no server may run any of the
  /// unassigned tasks.
  std::optional<double> least_sufficient_limit() {
    std::optional<double> min_load;
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
      if (jobs_[job].task_count == 0) continue;
      const auto server = best_server(job);
      if (!server) continue;
      const double load = plan_.load[*server] + task_cost(job, *server);
      if (!min_load || load < *min_load) min_load = load;
    }
    return min_load;
  }

  double task_cost(std::size_t job, std::size_t server) const {
    return jobs_[job].local_cost[server] *
           (jobs_[job].has_image[server] ? weights_.local : weights_.remote);
  }

  bool is_within_limit(std::size_t job, std::size_t server) const {
    return plan_.load[server] + task_cost(job, server) <=
           plan_.latency_limit + constants::labl_rounding_slack;
  }

  void assign(std::size_t job, std::size_t server) {
    const bool is_remote = !jobs_[job].has_image[server];
    plan_.load[server] += task_cost(job, server);
    plan_.assignments.push_back(
        {static_cast<std::uint32_t>(job), static_cast<std::uint32_t>(server), is_remote});
    --jobs_[job].task_count;
    --unassigned_tasks_;
    // Not in the paper: the fetch leaves the image in the server's cache, so that the job's next
    // task there is local.
    if (is_remote && weights_.fetch_caches_image) {
      jobs_[job].has_image[server] = 1;
      ++local_server_counts_[job];
      server_heaps_[job].local.add(plan_.load[server], server);
    }
  }

  /// The job with the fewest local servers among those with a task that is local on `server` and
  /// within the limit there; nothing when there is none.
  std::optional<std::size_t> most_constrained_job(std::size_t server) const {
    std::optional<std::size_t> best;
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
      const LablJob& input = jobs_[job];
      if (input.task_count == 0 || !input.has_image[server] || input.local_cost[server] <= 0)
        continue;
      if (!is_within_limit(job, server)) continue;
      if (!best || local_server_counts_[job] < local_server_counts_[*best]) best = job;
    }
    return best;
  }

  /// The least loaded local server, or the least loaded remote one if a task would end there before
  /// that local server could start it; nothing when no server may run the job.
  std::optional<std::size_t> best_server(std::size_t job) {
    const auto local = least_loaded_server(job, Locality::local);
    const auto remote = least_loaded_server(job, Locality::remote);
    // Not in the paper: the remote server is chosen if a task would end there before the least
    // loaded local server could start it.
    const bool is_remote_sooner =
        remote && (!local || plan_.load[*remote] + task_cost(job, *remote) < plan_.load[*local]);
    return is_remote_sooner ? remote : local;
  }

  std::optional<std::size_t> least_loaded_server(std::size_t job, Locality locality) {
    const bool is_local = locality == Locality::local;
    ServerLoadHeap& heap = is_local ? server_heaps_[job].local : server_heaps_[job].remote;
    const LablJob& input = jobs_[job];
    const auto is_member = [&input, is_local](std::size_t server) {
      return (input.has_image[server] != 0) == is_local;
    };
    if (!heap.is_built())
      heap.build(plan_.load, [&](std::size_t server) {
        return input.local_cost[server] > 0 && is_member(server);
      });
    return heap.least_loaded(plan_.load, is_member);
  }

  std::vector<LablJob> jobs_;
  LablWeights weights_;
  double unit_cost_;
  LablPlan plan_;
  std::vector<std::ptrdiff_t> local_server_counts_;  // for each job, the paper's |rho(t)|
  std::vector<ServerHeaps> server_heaps_;            // for each job
  std::uint64_t unassigned_tasks_ = 0;
};

}  // namespace

LablPlan plan_labl(std::vector<LablJob> jobs, const std::vector<LablServer>& servers,
                   const LablWeights& weights) {
  return LablAssigner(std::move(jobs), servers, weights).run();
}

}  // namespace poppystile::planning
