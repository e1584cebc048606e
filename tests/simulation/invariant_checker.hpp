// The rules of PROTOCOL, checked at every step of the world.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/submission.hpp"
#include "simulation/event_queue.hpp"

namespace poppystile::simulation {

struct Place {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
};

class InvariantChecker {
 public:
  InvariantChecker(EventQueue& queue, double cancel_s) : queue_(queue), cancel_s_(cancel_s) {}

  void team(const std::string& name, std::int64_t cpus_max) { limits_[name] = cpus_max; }
  void submitted(const protocol::JobSpec& job) {
    jobs_[job.id] = job;
    submitted_[job.id] = queue_.now();
  }
  // Submitted with a mistake: it fails on every machine.
  void mistaken(const std::string& id) { mistaken_.insert(id); }
  bool is_mistaken(const std::string& id) const { return mistaken_.contains(id); }
  std::uint64_t mistaken_starts() const { return mistaken_starts_; }
  const protocol::JobSpec* job(const std::string& id) const;
  // Told when a job's last task has completed.
  void on_last_task(std::function<void(const std::string&)> handler) {
    on_last_task_ = std::move(handler);
  }
  // Where a job's tasks are.
  std::set<std::string> machines_of(const std::string& id) const;
  bool is_on_a_machine(const std::string& id) const;

  // What happens on machines.
  void on_machine(const std::string& job, std::uint32_t index, const Place& place);
  void off_machine(const std::string& job, std::uint32_t index, const std::string& machine);
  void completed(const std::string& job, std::uint32_t index);
  bool is_completed(const std::string& job, std::uint32_t index) const;
  // What users are told.
  void told(const std::string& job, int status, const std::string& state, bool poll);
  void told_cancelled(const std::string& job);
  void asked(const std::string& job) { asked_[job] = queue_.now(); }
  // A request that must be refused was accepted.
  void wrongly_accepted(const std::string& what) { breach("wrongly_accepted", what); }
  // When the last trouble is over: from then on every accepted job must get answers.
  void troubles_until(double time) { troubles_until_ = std::max(troubles_until_, time); }
  // Called now and then.
  void sweep();
  // Whether a job waits with none of its tasks on a machine, and its team may have one more.
  bool waits_within_limit(const std::string& id) const;
  const std::set<std::string>& accepted() const { return accepted_; }
  // Called now and then, for every accepted job: beside which machine it waits with room for it;
  // empty when it does not.
  void waits(const std::string& id, const std::string& beside);
  // Called at the end: what was served too little.
  void judge_service();

  const std::vector<std::string>& broken() const { return broken_; }
  std::uint64_t starts() const { return starts_; }
  // Starts of tasks whose user had been told long before that the job is cancelled.
  std::uint64_t cancelled_starts() const { return cancelled_starts_; }
  std::size_t done_jobs() const { return done_.size(); }
  std::size_t accepted_jobs() const { return accepted_.size(); }
  std::size_t cancelled_jobs() const { return cancelled_told_.size(); }
  std::size_t on_now(const std::string& job_class) const;

 private:
  void check_zones(const protocol::JobSpec& spec, std::uint32_t index, const Place& place);
  using Task = std::pair<std::string, std::uint32_t>;
  void breach(const std::string& rule, const std::string& detail);

  EventQueue& queue_;
  double cancel_s_;
  std::map<std::string, std::int64_t> limits_;
  std::map<std::string, protocol::JobSpec> jobs_;
  std::map<Task, std::map<std::string, Place>> on_;
  std::map<std::string, std::int64_t> team_cpus_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::set<std::string> accepted_;
  std::set<std::string> done_;
  std::map<std::string, double> cancelled_told_;
  std::map<std::string, double> answered_;  // newest answer about a job
  std::map<std::string, double> asked_;     // newest question
  std::map<std::string, double> submitted_;
  std::map<std::string, double> began_;        // a job's first start
  std::map<std::string, double> waits_since_;  // beside room
  std::function<void(const std::string&)> on_last_task_;
  double troubles_until_ = 0;
  std::vector<std::string> broken_;
  std::uint64_t starts_ = 0;
  std::uint64_t cancelled_starts_ = 0;
  std::set<std::string> mistaken_;
  std::uint64_t mistaken_starts_ = 0;
};

}  // namespace poppystile::simulation
