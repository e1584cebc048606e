#include "simulation/worker.hpp"

#include <algorithm>

#include "protocol/worker_messages.hpp"

namespace poppystile::simulation {

using transport::HttpResponse;

namespace {
constexpr double answer_within_s = 4;    // PROTOCOL: then the next node is tried
constexpr double next_node_after_s = 1;  // PROTOCOL
constexpr double least_gap_s = 0.5;      // PROTOCOL: between reports on change
constexpr double lease_look_s = 0.1;     // how often the lease is looked at
}  // namespace

Worker::Worker(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, const Place& place,
               const protocol::MachineType& type, const WorkerTimes& times,
               std::vector<std::string> nodes, Send send)
    : queue_(queue),
      invariants_(invariants),
      gangs_(gangs),
      place_(place),
      type_(type),
      times_(times),
      nodes_(std::move(nodes)),
      send_(std::move(send)) {}

void Worker::start() {
  lease_from_ = queue_.now();
  node_ = static_cast<std::size_t>(queue_.uniform(0, static_cast<double>(nodes_.size())));
  watch_lease();
  report_soon(0);
}

void Worker::stop() {
  alive_ = false;
  for (const auto& each : tasks_) remove(each);
  tasks_.clear();
}

void Worker::remove(const Task& task) {
  invariants_.off_machine(task.job, task.index, place_.machine);
  if (is_gang(task)) gangs_.leave(task.job, task.attempt, task.index);
}

void Worker::hang(double for_s) {
  hung_until_ = queue_.now() + for_s;
  excuse(for_s);
}

// Its lease may still end for that reason a while after.
void Worker::excuse(double for_s) {
  excused_until_ = std::max(excused_until_, queue_.now() + for_s + 2 * times_.lease_s);
}

void Worker::mute(double for_s) {
  mute_until_ = queue_.now() + for_s;
  excuse(for_s);
}

std::int64_t Worker::tasks_that_fit(const protocol::JobSpec& spec) const {
  const bool allowed = (!place_.spot || spec.spot) && (!spec.zone || *spec.zone == place_.zone) &&
                       (!spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                 place_.type) != spec.types->end());
  if (!alive_ || hanging() || sick_ || notice_at_ >= 0 || !allowed) return 0;
  return spec.each.times_in(room());
}

void Worker::notice(double in_s) {
  notice_at_ = queue_.now() + in_s;
  changed();
}

void Worker::watch_lease() {
  if (!alive_) return;
  queue_.after(lease_look_s, [this] { watch_lease(); });
  // The bench's machines lose their tasks at the lease's end whether or not they hang.
  if (queue_.now() - lease_from_ > times_.lease_s) kill_all();
}

void Worker::kill_all() {
  if (queue_.now() > excused_until_) ++lapses_;
  for (const auto& each : tasks_) remove(each);
  tasks_.clear();
  ++session_;
  lease_from_ = queue_.now();
  changed();
}

void Worker::report_soon(double delay) {
  due_ = queue_.now() + delay;
  const double due = due_;
  queue_.after(delay, [this, due] {
    if (alive_ && due == due_ && in_flight_ == 0) report();
  });
}

void Worker::changed() {
  if (in_flight_ != 0 || !alive_) return;
  const double soonest = std::max(0.0, last_report_ + least_gap_s - queue_.now());
  if (queue_.now() + soonest < due_) report_soon(soonest);
}

std::string Worker::body() {
  Json pieces = Json::array();
  for (const auto& each : tasks_) {
    Json piece = {{"piece", protocol::task_name(each.job, each.index)},
                  {"try", each.attempt},
                  {"stage", each.stage}};
    if (each.stage == "exited") piece["cause"] = each.cause;
    if (each.stored) piece["stored"] = true;
    pieces.push_back(piece);
  }
  Json out = {{"stile", place_.machine}, {"addr", "10.1.0.1:9000"}, {"build", place_.type},
              {"yard", place_.zone},     {"loaners", place_.spot},  {"shift", session_},
              {"tick", ++sequence_},     {"baton", token_},         {"recall_s", nullptr},
              {"pieces", pieces}};
  if (notice_at_ >= 0) out["recall_s"] = std::max(0.0, notice_at_ - queue_.now());
  return out.dump();
}

void Worker::report() {
  if (hanging()) return report_soon(hung_until_ - queue_.now() + 0.01);
  const std::uint64_t number = in_flight_ = ++reports_;
  const std::uint64_t incarnation = session_;
  const double sent = last_report_ = queue_.now();
  // What is due is counted all the same: a report that cannot leave has its number.
  const std::string sheet = body();
  if (queue_.now() >= mute_until_)
    send_(nodes_[node_], *this, sheet,
          [this, number, incarnation, sent](const HttpResponse& response) {
            if (alive_ && !hanging()) answered(number, incarnation, sent, response);
          });
  queue_.after(answer_within_s, [this, number] {
    if (!alive_ || in_flight_ != number) return;
    in_flight_ = 0;
    next_node();
  });
}

void Worker::next_node() {
  node_ = (node_ + 1) % nodes_.size();
  report_soon(next_node_after_s);
}

void Worker::answered(std::uint64_t number, std::uint64_t incarnation, double sent,
                      const HttpResponse& response) {
  if (in_flight_ != number) return;  // given up on
  in_flight_ = 0;
  if (response.status == 421) {
    const Json root = protocol::parse_object(response.body);
    const std::string to = root.value("foreman", "");
    const auto it = std::find(nodes_.begin(), nodes_.end(), to);
    if (it == nodes_.end() || *it == nodes_[node_]) return next_node();
    node_ = static_cast<std::size_t>(it - nodes_.begin());
    return report_soon(queue_.uniform(0, 0.5));
  }
  if (response.status != 200) return next_node();
  const Json root = protocol::parse_object(response.body);
  const std::uint64_t token = root.at("baton");
  report_soon(times_.heartbeat_interval_s * queue_.uniform(0.75, 1.25));
  if (token < token_ || incarnation != session_) return;
  const bool newer = token > token_;
  token_ = token;
  lease_from_ = sent;
  for (const Json& order : root.at("orders")) command(order);
  if (newer) changed();
}

void Worker::command(const Json& order) {
  const std::string verb = order.at("verb");
  const std::string name = order.at("piece");
  const std::uint64_t attempt = order.at("try");
  if (verb == "start") return start_task(name, attempt);
  std::string job;
  std::uint32_t index = 0;
  protocol::split_task_name(name, job, index);
  for (auto& each : tasks_) {
    if (each.job != job || each.index != index || each.attempt != attempt) continue;
    if (verb == "stop" && each.stage != "exited") {
      if (is_gang(each) && each.stage != "pulling")
        return gangs_.stop(job, attempt, index, order.at("wind_down_s").get<double>());
      leave(each, "halted");
    }
    if (verb == "reap" && each.stage == "exited") {
      std::erase_if(tasks_, [&](const Task& task) {
        return task.job == job && task.index == index && task.attempt == attempt;
      });
      return;
    }
  }
}

protocol::Resources Worker::room() const {
  protocol::Resources free = type_.size;
  for (const auto& each : tasks_)
    if (each.stage != "exited") free -= each.each;
  return free;
}

void Worker::start_task(const std::string& name, std::uint64_t attempt) {
  Task task;
  protocol::split_task_name(name, task.job, task.index);
  task.attempt = attempt;
  task.life = ++lives_;
  bool busy = false;
  for (const auto& each : tasks_) {
    if (each.job != task.job || each.index != task.index) continue;
    if (each.attempt == attempt) return;
    busy = busy || each.stage != "exited";
  }
  const protocol::JobSpec* spec = invariants_.job(task.job);
  const std::string refused = spec == nullptr ? "unknown" : busy ? "busy" : "";
  if (!refused.empty() || !spec->each.fits(room())) {
    task.stage = "exited";
    task.cause = refused.empty() ? "no_room" : refused;
    tasks_.push_back(task);
    return changed();
  }
  task.stage = "pulling";
  task.each = spec->each;
  tasks_.push_back(task);
  auto image = images_.find(spec->image);
  if (image == images_.end())
    image = images_
                .emplace(spec->image, queue_.now() + spec->image_gb / type_.fetch_gb_per_s *
                                                         queue_.uniform(0.8, 1.3))
                .first;
  queue_.at(image->second, [this, life = task.life] { image_there(life); });
  changed();
}

Worker::Task* Worker::by_life(std::uint64_t life) {
  for (auto& each : tasks_)
    if (each.life == life && each.stage != "exited") return &each;
  return nullptr;
}

void Worker::image_there(std::uint64_t life) {
  Task* task = by_life(life);
  if (!alive_ || task == nullptr) return;
  if (hanging()) return queue_.at(hung_until_ + 0.01, [this, life] { image_there(life); });
  if (invariants_.is_completed(task->job, task->index)) return leave(*task, "done");
  invariants_.on_machine(task->job, task->index, place_);
  if (is_gang(*task)) {
    task->stage = "waiting";
    gangs_.join(task->job, task->attempt, task->index, *this, life);
    return changed();
  }
  task->stage = "running";
  if (sick_ || invariants_.is_mistaken(task->job)) {
    queue_.after(0.5, [this, life] { finish(life, "error"); });
  } else if (const auto* spec = invariants_.job(task->job);
             spec->kind == protocol::JobKind::array) {
    queue_.after(spec->estimated_run_time.count() * queue_.uniform(0.6, 1.4),
                 [this, life] { finish(life, "done"); });
  }
  changed();
}

void Worker::begin_gang_task(std::uint64_t life) {
  Task* task = by_life(life);
  if (task == nullptr) return;
  task->stage = "running";
  if (sick_ || invariants_.is_mistaken(task->job))
    queue_.after(0.5, [this, life] { finish(life, "error"); });
  changed();
}

void Worker::end_gang_task(std::uint64_t life, const std::string& cause, bool stored) {
  Task* task = by_life(life);
  if (!alive_ || task == nullptr) return;
  if (hanging())
    return queue_.at(hung_until_ + 0.01,
                     [this, life, cause, stored] { end_gang_task(life, cause, stored); });
  task->stored = stored;
  leave(*task, cause);
}

void Worker::finish(std::uint64_t life, const std::string& cause) {
  Task* task = by_life(life);
  if (!alive_ || task == nullptr) return;
  if (hanging()) return queue_.at(hung_until_ + 0.01, [this, life, cause] { finish(life, cause); });
  if (cause == "done") invariants_.completed(task->job, task->index);
  leave(*task, cause);
}

void Worker::leave(Task& task, const std::string& cause) {
  task.stage = "exited";
  task.cause = cause;
  remove(task);
  changed();
}

}  // namespace poppystile::simulation
