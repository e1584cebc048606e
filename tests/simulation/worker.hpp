// Stand-in for a worker, after PROTOCOL: reports, commands, tokens, sessions, leases, images.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/json.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/gangs.hpp"
#include "simulation/invariant_checker.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

struct WorkerTimes {
  double heartbeat_interval_s = 1;
  double lease_s = 10;
};

class Worker : public GangHost {
 public:
  using Reply = std::function<void(transport::HttpResponse)>;
  // Sends a report to a node; the network decides what becomes of it.
  using Send = std::function<void(const std::string& node, const Worker& from, std::string body,
                                  Reply reply)>;
  Worker(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, const Place& place,
         const protocol::MachineType& type, const WorkerTimes& times,
         std::vector<std::string> nodes, Send send);
  void start();
  void stop();  // the machine is gone
  void hang(double for_s);
  void fail_everything(bool on) { sick_ = on; }
  void notice(double in_s);
  const Place& place() const { return place_; }
  bool alive() const { return alive_; }
  // Whether it could run a task of this job now.
  bool could_run(const protocol::JobSpec& spec) const { return tasks_that_fit(spec) > 0; }
  // How many tasks of this job it could run now.
  std::int64_t tasks_that_fit(const protocol::JobSpec& spec) const;
  // It reaches no controller.
  void mute(double for_s);
  // Leases that ended though the machine neither hung nor was excused.
  std::uint64_t lapses() const { return lapses_; }
  void excuse(double for_s);

 private:
  using Json = protocol::Json;
  struct Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string stage;  // pulling, waiting, running, exited
    std::string cause;
    bool stored = false;
    protocol::Resources each;
    std::uint64_t life = 0;  // tells whether a timer still concerns it
  };

  // Of a gang's task, called by `Gangs`.
  void begin_gang_task(std::uint64_t life) override;
  void end_gang_task(std::uint64_t life, const std::string& cause, bool stored) override;
  bool is_hanging() const override { return hanging(); }
  bool is_gang(const Task& task) const {
    return invariants_.job(task.job) != nullptr &&
           invariants_.job(task.job)->kind == protocol::JobKind::gang;
  }
  void remove(const Task& task);

  bool hanging() const { return queue_.now() < hung_until_; }
  void report_soon(double delay);
  void report();
  void answered(std::uint64_t number, std::uint64_t incarnation, double sent,
                const transport::HttpResponse& response);
  void next_node();
  void command(const Json& order);
  void start_task(const std::string& name, std::uint64_t attempt);
  void image_there(std::uint64_t life);
  void finish(std::uint64_t life, const std::string& cause);
  Task* by_life(std::uint64_t life);
  void leave(Task& task, const std::string& cause);
  void watch_lease();
  void kill_all();
  protocol::Resources room() const;
  std::string body();
  void changed();

  EventQueue& queue_;
  InvariantChecker& invariants_;
  Gangs& gangs_;
  Place place_;
  protocol::MachineType type_;
  WorkerTimes times_;
  std::vector<std::string> nodes_;
  std::size_t node_ = 0;
  Send send_;
  bool alive_ = true;
  bool sick_ = false;
  double hung_until_ = 0;
  double excused_until_ = 0;
  double mute_until_ = 0;
  std::uint64_t lapses_ = 0;
  double notice_at_ = -1;
  std::uint64_t session_ = 1, sequence_ = 0, token_ = 0, lives_ = 0, reports_ = 0;
  std::uint64_t in_flight_ = 0;  // number of the report waited for; 0: none
  double lease_from_ = 0;
  double last_report_ = -100;
  double due_ = 0;
  std::vector<Task> tasks_;
  std::map<std::string, double> images_;  // when they are, or will be, there
};

}  // namespace poppystile::simulation
