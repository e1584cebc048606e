#include "simulation/worker.hpp"

#include <utility>

namespace poppystile::simulation {

using transport::HttpResponse;

namespace {
constexpr Seconds response_timeout{4};  // PROTOCOL; afterwards the worker tries the next controller
constexpr Seconds next_controller_delay{1};  // PROTOCOL
// PROTOCOL; shortest time from one heartbeat to the next if a change triggers the latter.
constexpr double min_heartbeat_gap_s = 0.5;
constexpr Seconds lease_check_interval{0.1};
constexpr Seconds wake_up_delay{0.01};
// From a redirect to the heartbeat to the new controller.
constexpr Seconds max_redirect_delay{0.5};
// Multiples of the heartbeat interval.
constexpr double min_interval_factor = 0.75, max_interval_factor = 1.25;
// Multiple of the worker lease: time after a fault during which it still explains an expired lease.
constexpr double leases_explained_after_fault = 2;
}  // namespace

Worker::Worker(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs,
               const HostMachine& host, const protocol::MachineType& type,
               const WorkerTiming& timing, std::vector<std::string> controllers, Send send)
    : queue_(queue),
      host_(host),
      timing_(timing),
      controllers_(std::move(controllers)),
      send_(std::move(send)),
      tasks_(queue, invariants, gangs, host, type, [this] { send_heartbeat_on_change(); }) {}

void Worker::start() {
  lease_renewed_at_ = queue_.now();
  controller_ =
      static_cast<std::size_t>(queue_.uniform(0, static_cast<double>(controllers_.size())));
  check_lease();
  send_heartbeat_after(Seconds{0});
}

void Worker::stop() {
  is_up_ = false;
  tasks_.shut_down();
}

void Worker::hang(Seconds duration) {
  tasks_.hang(duration);
  expect_lease_expiry(duration);
}

void Worker::expect_lease_expiry(Seconds duration) {
  const double until =
      queue_.now() + duration.count() + leases_explained_after_fault * timing_.lease.count();
  expiry_expected_until_ = std::max(expiry_expected_until_, until);
}

void Worker::block_heartbeats(Seconds duration) {
  heartbeats_blocked_until_ = queue_.now() + duration.count();
  expect_lease_expiry(duration);
}

void Worker::give_preemption_notice(Seconds until_preemption) {
  preemption_at_ = queue_.now() + until_preemption.count();
  send_heartbeat_on_change();
}

std::int64_t Worker::startable_tasks(const protocol::JobSpec& spec) const {
  const bool usable =
      is_up_ && !tasks_.is_hanging() && !tasks_.do_tasks_fail() && preemption_at_ < 0;
  const bool allowed = (!host_.spot || spec.spot) && (!spec.zone || *spec.zone == host_.zone) &&
                       (!spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                 host_.type) != spec.types->end());
  return usable && allowed ? spec.task_resources.times_in(tasks_.free_resources()) : 0;
}

void Worker::check_lease() {
  if (!is_up_) return;
  queue_.after(lease_check_interval, [this] { check_lease(); });
  // The lease expires, and the tasks are killed, even while the machine hangs.
  if (queue_.now() - lease_renewed_at_ > timing_.lease.count()) expire_lease();
}

void Worker::expire_lease() {
  if (queue_.now() > expiry_expected_until_) ++unexplained_lease_expirations_;
  tasks_.kill_all();
  ++incarnation_;
  lease_renewed_at_ = queue_.now();
  send_heartbeat_on_change();
}

void Worker::send_heartbeat_after(Seconds delay) {
  next_heartbeat_at_ = queue_.now() + delay.count();
  queue_.after(delay, [this, due = next_heartbeat_at_] {
    if (is_up_ && due == next_heartbeat_at_ && in_flight_ == 0) send_heartbeat();
  });
}

void Worker::send_heartbeat_on_change() {
  if (in_flight_ != 0 || !is_up_) return;
  const double delay_s = std::max(0.0, last_heartbeat_at_ + min_heartbeat_gap_s - queue_.now());
  if (queue_.now() + delay_s < next_heartbeat_at_) send_heartbeat_after(Seconds{delay_s});
}

std::string Worker::encode_heartbeat() {
  Json out = {{"stile", host_.machine}, {"addr", "10.1.0.1:9000"},
              {"build", host_.type},    {"yard", host_.zone},
              {"loaners", host_.spot},  {"shift", incarnation_},
              {"tick", ++sequence_},    {"baton", token_},
              {"recall_s", nullptr},    {"pieces", tasks_.encode_tasks()}};
  if (preemption_at_ >= 0) out["recall_s"] = std::max(0.0, preemption_at_ - queue_.now());
  return out.dump();
}

void Worker::send_heartbeat() {
  if (tasks_.is_hanging())
    return send_heartbeat_after(Seconds{tasks_.hanging_until() - queue_.now()} + wake_up_delay);
  const std::uint64_t number = in_flight_ = ++last_heartbeat_number_;
  const double sent_at = last_heartbeat_at_ = queue_.now();
  // A blocked heartbeat also consumes a sequence number.
  const std::string body = encode_heartbeat();
  if (queue_.now() >= heartbeats_blocked_until_)
    send_(controllers_[controller_], *this, body,
          [this, number, incarnation = incarnation_, sent_at](const HttpResponse& response) {
            if (is_up_ && !tasks_.is_hanging())
              handle_response(number, incarnation, sent_at, response);
          });
  queue_.after(response_timeout, [this, number] {
    if (!is_up_ || in_flight_ != number) return;
    in_flight_ = 0;
    try_next_controller();
  });
}

void Worker::try_next_controller() {
  controller_ = (controller_ + 1) % controllers_.size();
  send_heartbeat_after(next_controller_delay);
}

void Worker::handle_redirect(const HttpResponse& response) {
  const std::string leader = protocol::parse_object(response.body).value("foreman", "");
  const auto it = std::find(controllers_.begin(), controllers_.end(), leader);
  if (it == controllers_.end() || *it == controllers_[controller_]) return try_next_controller();
  controller_ = static_cast<std::size_t>(it - controllers_.begin());
  send_heartbeat_after(queue_.uniform(Seconds{0}, max_redirect_delay));
}

void Worker::handle_response(std::uint64_t heartbeat, std::uint64_t incarnation, double sent_at,
                             const HttpResponse& response) {
  if (in_flight_ != heartbeat) return execute_duplicate(incarnation, sent_at, response);
  in_flight_ = 0;
  if (response.status == 421) return handle_redirect(response);
  if (response.status != 200) return try_next_controller();
  const Json root = protocol::parse_object(response.body);
  const std::uint64_t token = root.at("baton");
  send_heartbeat_after(timing_.heartbeat_interval *
                       queue_.uniform(min_interval_factor, max_interval_factor));
  if (!accepts(incarnation, token)) return;
  const bool is_newer = token > token_;
  token_ = token;
  lease_renewed_at_ = sent_at;
  for (const Json& command : root.at("orders")) execute(command);
  if (is_newer) send_heartbeat_on_change();
}

// PROTOCOL: commands in a response are never executed late, since the worker drops responses after
// its timeout. A duplicate within that time is executed while token and incarnation match.
void Worker::execute_duplicate(std::uint64_t incarnation, double sent_at,
                               const HttpResponse& response) {
  if (queue_.now() - sent_at > response_timeout.count() || response.status != 200) return;
  const Json root = protocol::parse_object(response.body);
  if (!accepts(incarnation, root.at("baton"))) return;
  for (const Json& command : root.at("orders")) execute(command);
}

void Worker::execute(const Json& command) {
  const std::string verb = command.at("verb");
  const std::string task_name = command.at("piece");
  const std::uint64_t attempt = command.at("try");
  if (verb == "start") tasks_.start(task_name, attempt);
  if (verb == "stop")
    tasks_.stop(task_name, attempt, Seconds{command.at("wind_down_s").get<double>()});
  if (verb == "reap") tasks_.forget(task_name, attempt);
}

}  // namespace poppystile::simulation
