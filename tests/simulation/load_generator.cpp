#include "simulation/load_generator.hpp"

#include <cstdio>
#include <string>

namespace poppystile::simulation {

namespace {

constexpr double milli = 1000;        // in the sizes of tasks: millicores, megabytes
constexpr int id_step = 7919;         // a prime, so that ids come in no order
constexpr int ids = 1000000;          // an id has six digits
constexpr double min_interval = 0.5;  // of the mean time between two submissions
constexpr double max_interval = 1.5;

// "5-40" or "12"
double pick(EventQueue& queue, const std::string& range) {
  const auto ends = split(range, '-');
  const double low = std::stod(ends.at(0));
  return ends.size() == 1 ? low : queue.uniform(low, std::stod(ends.at(1)));
}

protocol::Priority priority_of(const std::string& word) {
  if (word == "production") return protocol::Priority::production;
  if (word == "high") return protocol::Priority::high;
  if (word == "low") return protocol::Priority::low;
  return protocol::Priority::normal;
}

protocol::JobKind kind_of(const std::string& word) {
  if (word == "service") return protocol::JobKind::service;
  if (word == "gang") return protocol::JobKind::gang;
  return protocol::JobKind::array;
}

}  // namespace

void LoadGenerator::schedule(const Statement& load) {
  EventQueue& queue = simulation_.queue();
  const int first = load.count("first", 0);
  const double from = load.number("from", 0.2);
  for (int i = 0; i < first; ++i) queue.at(from, [this, load] { submit(load); });
  const double every = load.number("every", 0);
  const double until = load.number("until", until_);
  if (every <= 0) return;
  double next = from;
  while (next < until) {
    queue.at(next, [this, load] { submit(load); });
    next += every * queue.uniform(min_interval, max_interval);
  }
}

void LoadGenerator::submit(const Statement& load) {
  const protocol::JobSpec job = make_job(load);
  if (load.flag("failing")) simulation_.invariants().mark_failing(job.id);
  simulation_.users().submit(job);
}

std::string LoadGenerator::next_job_id() {
  char id[16];
  std::snprintf(id, sizeof(id), "req-%06d", static_cast<int>(++jobs_ * id_step % ids));
  return id;
}

protocol::JobSpec LoadGenerator::make_job(const Statement& load) {
  EventQueue& queue = simulation_.queue();
  protocol::JobSpec job;
  job.id = next_job_id();
  job.job_class = load.words.at(1);
  job.team = load.text("team", "ops");
  job.kind = kind_of(load.text("kind", "array"));
  job.priority = priority_of(load.text("priority", "normal"));
  job.tasks = static_cast<std::uint32_t>(pick(queue, load.text("tasks", "1")));
  job.task_resources = {static_cast<std::int64_t>(load.number("cpus", 2) * milli), 0,
                        static_cast<std::int64_t>(load.number("memory", 2) * milli)};
  job.spot = load.flag("spot");
  job.one_zone = load.flag("one_zone");
  job.spread = load.flag("spread");
  if (load.values.contains("zone")) job.zone = load.text("zone", "");
  const int images = load.count("images", 2);
  job.image = job.job_class + "-" + std::to_string(static_cast<int>(queue.uniform(0, images)));
  job.image_gb = load.number("image_gb", 2);
  job.estimated_run_time =
      Seconds{job.kind == protocol::JobKind::service ? 0 : pick(queue, load.text("run", "15"))};
  job.checkpoint_interval = load.seconds("checkpoint", 0);
  job.checkpoint_save_time = load.seconds("save", 0);
  if (load.values.contains("deadline")) job.deadline = load.seconds("deadline", 60);
  return job;
}

}  // namespace poppystile::simulation
