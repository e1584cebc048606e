// The leader's picture of jobs, machines and placements.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/records.hpp"

namespace poppystile::cluster {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;
using storage::CachedImage;
using storage::JobRecord;

struct Machine;
struct Placement;

enum class TaskPhase : std::uint8_t {
  waiting,  // on no machine, and the journal says so
  placed,   // the journal names its machine, or is about to
  finished  // exited with done; durable once the journal has landed that far
};

// The present attempt of a gang: from the placement of all its tasks in one decision until the last
// of them is proven to be off its machine.
struct GangAttempt {
  enum class Phase : std::uint8_t {
    none,        // no task is placed
    assembling,  // every task is placed, or to be replaced; none has been seen to run
    running,
    stopping,  // told to save and stop, all together
    ending     // a task is gone: the others are stopped, for nothing is left to save
  };
  Phase phase = Phase::none;
  std::uint64_t number = 0;    // of the attempt; all its tasks carry it
  SteadyTime placed_at;        // steady
  SteadyTime task_lost_at;     // steady; when the newest task was found to be gone
  std::set<std::string> left;  // machines that a task of this attempt has left

  // Whether no task may be started or replaced any more.
  bool is_over() const { return phase == Phase::stopping || phase == Phase::ending; }
};

struct Job {
  JobRecord record;
  std::uint64_t version = 0;  // of the job's record, for conditional changes
  std::vector<TaskPhase> phases;
  std::uint32_t next_unplaced = 0;                         // tasks from here on were never placed
  std::vector<std::uint32_t> requeued;                     // tasks that came back from a machine
  std::unordered_map<std::uint32_t, Machine*> placements;  // of the placed tasks
  std::uint32_t finished = 0, running = 0;
  SteadyTime retry_at;              // steady; failed tasks wait until then
  Seconds retry_pause{0};           // above 0: it fails wherever it runs
  std::set<std::string> failed_on;  // machines, since it last ran well
  Seconds longest_failed_run{0};    // the longest run that has failed since
  GangAttempt gang;                 // of a gang only

  const JobSpec& spec() const { return record.spec; }
  bool is_gang() const { return spec().kind == JobKind::gang; }
  bool is_task_finished(std::uint32_t index) const { return phases[index] == TaskPhase::finished; }
  std::uint32_t waiting() const {
    return spec().tasks - static_cast<std::uint32_t>(placements.size()) - finished;
  }
  // Of those, how many may be tried: a few when all fail; of a gang all, or those to be replaced.
  std::uint32_t schedulable_tasks() const;
  // A task of it has run well.
  void reset_failures();
  bool all_finished() const { return finished == spec().tasks; }
  // The next task to be placed; the caller names its machine.
  std::uint32_t take_waiting(Machine& machine);
  void requeue(std::uint32_t index);
  void finish(std::uint32_t index);
  // Every task that is not finished yet: the tasks of a gang complete together.
  void finish_all();
  // Calls `action` with each placement of the job.
  void for_each_placement(const std::function<void(Placement&)>& action);
};

// `waiting`: for the other tasks of its gang.
enum class PlacementPhase : std::uint8_t { assigned, fetching, waiting, running, saving, exited };

struct Placement {
  std::string job;
  std::string team;  // whose use it counts for, also when the job is gone
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Resources each;
  PlacementPhase phase = PlacementPhase::assigned;
  bool stopping = false;
  std::uint64_t last_reported_sequence = 0;  // sequence number of the newest report that listed it
  bool finished = false;                     // exited with done
  std::uint64_t log_position = 0;  // the journal is to land this far before a start, or a reap
  std::uint64_t start_incarnation = 0, start_sequence = 0;  // newest report that a start answered
  int unacknowledged_starts = 0;  // starts sent that the next report did not show
  SteadyTime phase_started_at;    // steady; of the phase
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
  Seconds boot_time{0};  // usual for its type
  std::vector<Placement> placements;
  std::vector<CachedImage> images;  // least recently used first
  std::uint64_t incarnation = 0, sequence = 0;
  bool has_reported = false;            // reported to this leader
  bool has_acknowledged_token = false;  // its worker has seen this leader's token
  bool releasing = false;
  bool draining = false;  // takes nothing new, and is given back once it is empty
  bool preemption_noticed = false;
  bool quarantined = false;
  bool is_overdue = false;             // reports are overdue
  bool lease_expired = false;          // silent for longer than its lease
  bool is_unresponsive = false;        // it reports, but our answers seem not to arrive
  int failures = 0;                    // in a row
  int incarnations_without_start = 0;  // in a row, that ended without showing a start that was sent
  std::set<std::string> failed_jobs;
  SteadyTime avoid_until;             // steady
  SteadyTime unresponsive_since;      // steady; since when
  SteadyTime incarnation_started_at;  // steady; of the session's first report
  SteadyTime last_heartbeat_at;       // steady; of the newest report
  SteadyTime last_response_at;        // steady
  bool has_been_answered = false;     // by this leader, ever
  WallTime rented_at;

  Resources room() const {
    Resources free = size;
    free -= used;
    return free;
  }
  bool holds(const std::string& image) const;
  // Marks an image as just used; the least recently used ones leave when the cache is full.
  void mark_image_used(const std::string& name, double gb);
  Placement* find(const std::string& job, std::uint32_t index, std::uint64_t attempt);
};

// The newest gangs of a class, by which room is kept ready for the next.
struct RecentGang {
  JobSpec largest;
  WallTime last_submitted_at;  // of the newest submission
};

// What one team's tasks may be using.
struct TeamUsage {
  Resources used;
};

struct ClusterState {
  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::map<std::string, TeamUsage> teams;
  std::map<std::string, RecentGang> recent_gangs;  // by class

  Job* job(const std::string& id);
  void record_recent_gang(const JobRecord& record);
  // Whether a gang that lost tasks before it began may have them replaced: every task that is left
  // has been reported since, and none of them runs.
  bool may_replace_tasks(const Job& job, SteadyTime now, Seconds max_wait) const;
  Placement& place(Machine& machine, Job& job, std::uint64_t attempt, SteadyTime now);
  // A placement that is taken to be there already, such as one read from the journal.
  Placement& restore(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt,
                     SteadyTime now);
  // The placement no longer takes room.
  void release_resources(Machine& machine, Placement& placement);
};

}  // namespace poppystile::cluster
