// The leader's picture of jobs, machines and placements.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/records.hpp"

namespace poppystile::bookkeeping {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

enum class TaskPhase : std::uint8_t {
  waiting,   // on no machine and in no record
  placed,    // named by a machine's record, or about to be
  finished,  // exited with done, its bit not durable yet
  done       // its bit is durable
};

struct Job {
  JobRecord record;
  std::uint64_t stamp = 0;  // of the job's record, for conditional changes
  std::vector<TaskPhase> phases;
  std::uint32_t fresh = 0;              // tasks from here on were never placed
  std::vector<std::uint32_t> returned;  // tasks that came back from a machine
  std::uint32_t placed = 0, finished = 0, done = 0, running = 0;
  std::vector<std::uint64_t> chunk_stamps;
  std::vector<bool> chunk_dirty;
  double retry_at_s = 0;  // steady; failed tasks wait until then
  double retry_pause_s = 0;
  std::set<std::string> failed_on;  // machines, since a task last completed

  const JobSpec& spec() const { return record.spec; }
  std::uint32_t waiting() const { return spec().tasks - placed - finished - done; }
  bool all_finished() const { return done + finished == spec().tasks; }
  std::uint32_t take_waiting();
  void give_back(std::uint32_t index);
};

enum class PlacementPhase : std::uint8_t { assigned, fetching, running, saving, exited };

struct Placement {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Resources each;
  PlacementPhase phase = PlacementPhase::assigned;
  bool recorded = false;  // the machine's durable record names it
  bool stopping = false;
  bool shown = false;     // a report has listed it
  bool finished = false;  // exited with done
  bool ended = false;     // proven to be off the machine: the record is to drop it
  std::uint64_t sent_session = 0, sent_sequence = 0;  // newest report that a start answered
  double since_s = 0;                                 // steady; of the phase
};

struct Machine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  Resources used;  // by everything that may be on it
  double fetch_gb_per_s = 1;
  double cache_gb = 0;
  std::vector<Placement> placements;
  std::vector<CachedImage> images;  // least recently used first
  std::uint64_t stamp = 0;          // of its record
  std::uint64_t session = 0, sequence = 0;
  bool dirty = false;
  bool heard = false;      // reported to this leader
  bool confirmed = false;  // its worker has seen this leader's token
  bool releasing = false;
  bool gone = false;  // released or failed: the record is to go
  bool recalled = false;
  bool quarantined = false;
  bool late = false;  // reports are overdue
  bool lost = false;  // silent for longer than its lease
  int failures = 0;   // in a row
  std::set<std::string> failed_jobs;
  double avoid_until_s = 0;  // steady
  double heard_s = 0;        // steady; of the newest report
  double last_answer_s = 0;  // steady
  double hired_wall_s = 0;
  double idle_since_s = 0;  // steady

  Resources room() const {
    Resources free = size;
    free -= used;
    return free;
  }
  bool holds(const std::string& image) const;
  // Marks an image as just used; the least recently used ones leave when the cache is full.
  void touch_image(const std::string& name, double gb);
  Placement* find(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  MachineRecord record() const;
};

// What one team's tasks may be using.
struct TeamUse {
  Resources used;
};

struct Model {
  std::map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::map<std::string, TeamUse> teams;

  Job* job(const std::string& id);
  void place(Machine& machine, Job& job, std::uint64_t attempt, double now_s);
  // The placement no longer takes room; its task stays where it is until `drop`.
  void vacate(Machine& machine, Placement& placement);
};

}  // namespace poppystile::bookkeeping
