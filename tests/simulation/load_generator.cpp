#include "simulation/load_generator.hpp"

#include <cstdio>
#include <string>

namespace poppystile::simulation {

namespace {

constexpr double milli = 1000;  // converts cores to millicores and gigabytes to megabytes
constexpr int id_step = 7919;  // a prime, so that the order of ids differs from that of submissions
constexpr int id_count = 1000000;     // an id has six digits
constexpr double min_interval = 0.5;  // multiple of the mean time between two submissions
constexpr double max_interval = 1.5;

// Returns a random value from a range such as "5-40", or the value of a single number such as "12".
double sample_range(EventQueue& queue, const std::string& range) {
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
  const int initial_jobs = load.count("first", 0);
  const double from = load.number("from", 0.2);
  for (int i = 0; i < initial_jobs; ++i) queue.at(from, [this, load] { submit(load); });
  const double mean_interval_s = load.number("every", 0);
  const double until = load.number("until", until_);
  if (mean_interval_s <= 0) return;
  double next = from;
  while (next < until) {
    queue.at(next, [this, load] { submit(load); });
    next += mean_interval_s * queue.uniform(min_interval, max_interval);
  }
}

void LoadGenerator::submit(const Statement& load) {
  const protocol::JobSpec job = make_job(load);
  if (load.flag("failing")) simulation_.invariants().mark_failing(job.id);
  simulation_.users().submit(job);
}

std::string LoadGenerator::next_job_id() {
  char id[16];
  std::snprintf(id, sizeof(id), "req-%06d", static_cast<int>(++job_count_ * id_step % id_count));
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
  job.tasks = static_cast<std::uint32_t>(sample_range(queue, load.text("tasks", "1")));
  job.task_resources = {static_cast<std::int64_t>(load.number("cpus", 2) * milli), 0,
                        static_cast<std::int64_t>(load.number("memory", 2) * milli)};
  job.spot = load.flag("spot");
  job.one_zone = load.flag("one_zone");
  job.spread = load.flag("spread");
  if (load.values.contains("zone")) job.zone = load.text("zone", "");
  const int images = load.count("images", 2);
  job.image = job.job_class + "-" + std::to_string(static_cast<int>(queue.uniform(0, images)));
  job.image_gb = load.number("image_gb", 2);
  job.estimated_run_time = Seconds{
      job.kind == protocol::JobKind::service ? 0 : sample_range(queue, load.text("run", "15"))};
  job.checkpoint_interval = load.seconds("checkpoint", 0);
  job.checkpoint_save_time = load.seconds("save", 0);
  if (load.values.contains("deadline")) job.deadline = load.seconds("deadline", 60);
  return job;
}

}  // namespace poppystile::simulation
