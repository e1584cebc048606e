#include "simulation/task_runner.hpp"

#include <algorithm>
#include <utility>

#include "protocol/worker_messages.hpp"

namespace poppystile::simulation {

namespace {
constexpr Seconds failure_delay{0.5};  // Time from the start of a failing task to its exit.
constexpr double wake_up_delay_s = 0.01;
constexpr double min_run_factor = 0.6, max_run_factor = 1.4;  // multiples of the estimated run time
constexpr double min_fetch_factor = 0.8, max_fetch_factor = 1.3;  // multiples of the fetch time
}  // namespace

TaskRunner::TaskRunner(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs,
                       HostMachine host, protocol::MachineType type,
                       std::function<void()> on_change)
    : queue_(queue),
      invariants_(invariants),
      gangs_(gangs),
      host_(std::move(host)),
      type_(std::move(type)),
      on_change_(std::move(on_change)) {}

void TaskRunner::shut_down() {
  is_up_ = false;
  kill_all();
}

void TaskRunner::kill_all() {
  for (const auto& task : tasks_) remove(task);
  tasks_.clear();
}

void TaskRunner::remove(const Task& task) {
  invariants_.record_task_removed(task.job, task.index, host_.machine);
  if (is_gang(task)) gangs_.leave(task.job, task.attempt, task.index);
}

bool TaskRunner::is_gang(const Task& task) const {
  const protocol::JobSpec* spec = invariants_.find_job(task.job);
  return spec != nullptr && spec->kind == protocol::JobKind::gang;
}

bool TaskRunner::will_fail(const Task& task) const {
  return tasks_fail_ || invariants_.is_failing(task.job);
}

protocol::Resources TaskRunner::free_resources() const {
  protocol::Resources free = type_.size;
  for (const auto& task : tasks_)
    if (task.stage != "exited") free -= task.resources;
  return free;
}

protocol::Json TaskRunner::encode_tasks() const {
  protocol::Json out = protocol::Json::array();
  for (const auto& task : tasks_) {
    protocol::Json encoded = {{"piece", protocol::task_name(task.job, task.index)},
                              {"try", task.attempt},
                              {"stage", task.stage}};
    if (task.stage == "exited") encoded["cause"] = task.cause;
    if (task.saved) encoded["stored"] = true;
    out.push_back(encoded);
  }
  return out;
}

TaskRunner::Task* TaskRunner::find(const std::string& task_name, std::uint64_t attempt) {
  std::string job;
  std::uint32_t index = 0;
  protocol::split_task_name(task_name, job, index);
  for (auto& task : tasks_)
    if (task.job == job && task.index == index && task.attempt == attempt) return &task;
  return nullptr;
}

TaskRunner::Task* TaskRunner::find_unexited(std::uint64_t run) {
  for (auto& task : tasks_)
    if (task.run == run && task.stage != "exited") return &task;
  return nullptr;
}

bool TaskRunner::has_unexited_attempt(const Task& task) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& other) {
    return other.job == task.job && other.index == task.index && other.stage != "exited";
  });
}

void TaskRunner::start(const std::string& task_name, std::uint64_t attempt) {
  Task task;
  protocol::split_task_name(task_name, task.job, task.index);
  task.attempt = attempt;
  task.run = ++last_run_;
  if (find(task_name, attempt) != nullptr) return;
  const protocol::JobSpec* spec = invariants_.find_job(task.job);
  if (spec == nullptr) return reject(std::move(task), "unknown");
  if (has_unexited_attempt(task)) return reject(std::move(task), "busy");
  if (!spec->task_resources.fits(free_resources())) return reject(std::move(task), "no_room");
  task.stage = "pulling";
  task.resources = spec->task_resources;
  tasks_.push_back(task);
  queue_.at(image_ready_at(*spec), [this, run = task.run] { begin(run); });
  on_change_();
}

void TaskRunner::reject(Task task, const std::string& cause) {
  task.stage = "exited";
  task.cause = cause;
  tasks_.push_back(std::move(task));
  on_change_();
}

double TaskRunner::image_ready_at(const protocol::JobSpec& spec) {
  const auto known = images_.find(spec.image);
  if (known != images_.end()) return known->second;
  const double ready_at = queue_.now() + spec.image_gb / type_.fetch_gb_per_s *
                                             queue_.uniform(min_fetch_factor, max_fetch_factor);
  return images_.emplace(spec.image, ready_at).first->second;
}

void TaskRunner::stop(const std::string& task_name, std::uint64_t attempt, Seconds grace) {
  Task* task = find(task_name, attempt);
  if (task == nullptr || task->stage == "exited") return;
  if (is_gang(*task) && task->stage != "pulling")
    return gangs_.stop(task->job, attempt, task->index, grace);
  exit(*task, "halted");
}

void TaskRunner::forget(const std::string& task_name, std::uint64_t attempt) {
  const Task* task = find(task_name, attempt);
  if (task != nullptr && task->stage == "exited")
    tasks_.erase(tasks_.begin() + (task - tasks_.data()));
}

// Places the task on the machine when its image has been fetched.
void TaskRunner::begin(std::uint64_t run) {
  Task* task = find_unexited(run);
  if (!is_up_ || task == nullptr) return;
  if (is_hanging()) return queue_.at(hanging_until_ + wake_up_delay_s, [this, run] { begin(run); });
  if (invariants_.is_task_completed(task->job, task->index)) return exit(*task, "done");
  invariants_.record_task_placed(task->job, task->index, host_);
  if (!is_gang(*task)) return begin_alone(*task);
  task->stage = "waiting";
  gangs_.join(task->job, task->attempt, task->index, *this, run);
  on_change_();
}

void TaskRunner::begin_alone(Task& task) {
  task.stage = "running";
  const protocol::JobSpec& spec = *invariants_.find_job(task.job);
  if (will_fail(task)) {
    queue_.after(failure_delay, [this, run = task.run] { finish(run, "error"); });
  } else if (spec.kind == protocol::JobKind::array) {
    queue_.after(spec.estimated_run_time * queue_.uniform(min_run_factor, max_run_factor),
                 [this, run = task.run] { finish(run, "done"); });
  }
  on_change_();
}

void TaskRunner::start_gang_task(std::uint64_t run) {
  Task* task = find_unexited(run);
  if (task == nullptr) return;
  task->stage = "running";
  if (will_fail(*task)) queue_.after(failure_delay, [this, run] { finish(run, "error"); });
  on_change_();
}

void TaskRunner::end_gang_task(std::uint64_t run, const std::string& cause, bool saved) {
  Task* task = find_unexited(run);
  if (!is_up_ || task == nullptr) return;
  if (is_hanging())
    return queue_.at(hanging_until_ + wake_up_delay_s,
                     [this, run, cause, saved] { end_gang_task(run, cause, saved); });
  task->saved = saved;
  exit(*task, cause);
}

void TaskRunner::finish(std::uint64_t run, const std::string& cause) {
  Task* task = find_unexited(run);
  if (!is_up_ || task == nullptr) return;
  if (is_hanging())
    return queue_.at(hanging_until_ + wake_up_delay_s, [this, run, cause] { finish(run, cause); });
  if (cause == "done") invariants_.record_task_completed(task->job, task->index);
  exit(*task, cause);
}

void TaskRunner::exit(Task& task, const std::string& cause) {
  task.stage = "exited";
  task.cause = cause;
  remove(task);
  on_change_();
}

}  // namespace poppystile::simulation
