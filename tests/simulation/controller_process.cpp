#include "simulation/controller_process.hpp"

#include <algorithm>
#include <utility>

#include "protocol/cloud_messages.hpp"
#include "simulation/controller_cluster.hpp"
#include "simulation/simulation_settings.hpp"

namespace poppystile::simulation {

using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {
constexpr double max_clock_drift = 0.0005;         // the bound in PROTOCOL, as a fraction
constexpr double max_wall_offset_s = 0.1;          // the bound in PROTOCOL
constexpr SteadyTime steady_start{Seconds{1000}};  // arbitrary
constexpr WallTime wall_start{Seconds{1.7e9}};     // arbitrary
constexpr Seconds timer_granularity{0.0005};       // added to the delay of every timer
constexpr Seconds rejection_delay{0.003};          // Time from a rejected call to its 503 response.
constexpr Seconds min_latency{0.001}, max_latency{0.004};  // One-way latency.
constexpr double slow_packet_share = 0.01;
constexpr Seconds slow_packet_latency{0.3};
constexpr Seconds peer_latency{0.002};
// Bounds of the delay of a delayed write.
constexpr Seconds min_write_delay{2}, max_write_delay{12};

void ignore_response(const HttpResponse&) {}
}  // namespace

ControllerProcess::ControllerProcess(const SimulatedNetwork& network, ControllerCluster& cluster,
                                     protocol::Settings settings, int number)
    : network_(network),
      cluster_(cluster),
      settings_(std::move(settings)),
      number_(number),
      clock_rate_(1 + network.queue.uniform(0, max_clock_drift)),
      wall_offset_(network.queue.uniform(-max_wall_offset_s, max_wall_offset_s)) {}

void ControllerProcess::start() {
  lifetime_ = std::make_shared<int>(0);
  controller_ = std::make_unique<coordination::Controller>(*this, *this, *this, settings_,
                                                           properties_, network_.queue.random());
  controller_->start();
}

void ControllerProcess::crash(Seconds restart_after) {
  if (!is_running()) return;
  lifetime_.reset();
  paused_ = false;
  due_timers_.clear();
  waiting_messages_.clear();
  frame_handler_ = nullptr;
  controller_.reset();
  network_.queue.after(restart_after, [this] { start(); });
}

void ControllerProcess::pause(Seconds duration) {
  if (!is_running() || std::exchange(paused_, true)) return;
  network_.queue.after(duration, [this, lifetime = std::weak_ptr<int>(lifetime_)] {
    if (lifetime.expired()) return;
    paused_ = false;
    // Timers that became due during the pause run before any waiting message is delivered.
    for (auto& timer : std::exchange(due_timers_, {})) timer();
    for (auto& message : std::exchange(waiting_messages_, {}))
      if (!lifetime.expired()) message();
  });
}

void ControllerProcess::heal() {
  partition_ = {};
  for (auto& message : std::exchange(held_messages_, {})) message();
}

void ControllerProcess::deliver(std::function<void()> action) {
  if (paused_) return waiting_messages_.push_back(std::move(action));
  action();
}

void ControllerProcess::handle(const HttpRequest& request, transport::Respond respond) {
  if (is_running()) controller_->handle(request, std::move(respond));
}

SteadyTime ControllerProcess::now() const {
  return SteadyTime{steady_start.time_since_epoch() + Seconds{network_.queue.now() * clock_rate_}};
}

WallTime ControllerProcess::wall_now() const {
  return WallTime{wall_start.time_since_epoch() + Seconds{network_.queue.now()} + wall_offset_};
}

void ControllerProcess::after(Seconds delay, std::function<void()> action) {
  const Seconds simulated_delay = std::max(Seconds{0}, delay) / clock_rate_ + timer_granularity;
  network_.queue.after(simulated_delay, [this, lifetime = std::weak_ptr<int>(lifetime_),
                                         action = std::move(action)] {
    if (lifetime.expired()) return;
    paused_ ? due_timers_.push_back(action) : action();
  });
}

void ControllerProcess::call(const Endpoint& to, HttpRequest request, Seconds timeout,
                             std::function<void(HttpResponse)> done) {
  const std::weak_ptr<int> lifetime = lifetime_;
  auto settled = std::make_shared<bool>(false);
  const auto settle = [lifetime, settled, done = std::move(done)](HttpResponse response) {
    if (lifetime.expired() || std::exchange(*settled, true)) return;
    done(std::move(response));
  };
  const auto on_response = [this, lifetime, settle](const HttpResponse& response) {
    if (!lifetime.expired()) deliver([settle, response] { settle(response); });
  };
  // The timeout is a timer: when the process resumes, it runs before a waiting response is
  // delivered.
  after(timeout, [settle] { settle({}); });
  if (to == state_service_endpoint()) {
    if (!intercept_state_call(request, on_response)) send(Service::state, request, on_response);
    return;
  }
  if (request.target == protocol::release_path && cluster_.has_leader_above(token()))
    ++stale_releases_;
  send(Service::cloud, request, on_response);
}

// Applies the faults that replace the normal delivery of a call to the state service: partition,
// rejection or delayed write. Returns whether one of them applied.
bool ControllerProcess::intercept_state_call(const HttpRequest& request,
                                             const OnResponse& on_response) {
  if (partition_.state_service) {
    // A held call reaches the service when the partition heals. Its response is dropped, since the
    // caller no longer waits for it.
    if (partition_.deliver_on_heal)
      hold([this, request] { network_.state_service.handle(request, ignore_response); });
    return true;
  }
  if (partition_.reject_state_calls) {
    network_.queue.after(rejection_delay, [on_response] {
      on_response({503, R"({"error":"trouble"})"});
    });
    return true;
  }
  if (request.target != "/multi" || !network_.queue.chance(network_.faults.delayed_writes))
    return false;
  network_.queue.after(network_.queue.uniform(min_write_delay, max_write_delay), [this, request] {
    network_.state_service.handle(request, ignore_response);
  });
  return true;
}

void ControllerProcess::send(Service service, const HttpRequest& request,
                             const OnResponse& on_response) {
  EventQueue& queue = network_.queue;
  const bool is_watch = service == Service::state && request.target.starts_with("/follow");
  const Seconds latency = queue.chance(slow_packet_share) ? slow_packet_latency
                                                          : queue.uniform(min_latency, max_latency);
  queue.after(latency, [this, service, is_watch, request, on_response] {
    execute(service, request, [this, service, is_watch, on_response](const HttpResponse& response) {
      return_response(service, is_watch, response, on_response);
    });
    const Duplication& duplication = network_.faults.duplicated_calls;
    if (!network_.queue.chance(duplication.share)) return;
    network_.queue.after(network_.queue.uniform(duplication.min_delay, duplication.max_delay),
                         [this, service, request] { execute(service, request, ignore_response); });
  });
}

void ControllerProcess::return_response(Service service, bool is_watch,
                                        const HttpResponse& response,
                                        const OnResponse& on_response) {
  EventQueue& queue = network_.queue;
  const NetworkFaults& faults = network_.faults;
  if (is_watch && (partition_.watches || partition_.reject_state_calls))
    return hold([on_response, response] { on_response(response); });
  Seconds added_delay{0};
  if (service == Service::state) {
    // A partition also drops the responses to calls that were sent before it began.
    if (partition_.state_service || queue.chance(faults.lost_state_responses)) return;
    if (queue.chance(faults.delayed_state_responses.share))
      added_delay = faults.delayed_state_responses.delay;
  }
  queue.after(added_delay + queue.uniform(min_latency, max_latency),
              [on_response, response] { on_response(response); });
}

void ControllerProcess::execute(Service service, const HttpRequest& request,
                                const OnResponse& respond) const {
  if (service == Service::state) return network_.state_service.handle(request, respond);
  network_.cloud.handle(request, respond);
}

void ControllerProcess::broadcast(const std::string& frame) {
  for (const auto& other : cluster_.processes()) {
    if (other.get() == this) continue;
    const auto deliver_frame = [to = other.get(), frame] {
      to->deliver([to, frame] { to->receive_frame(frame); });
    };
    if (!partition_.peers && !other->partition_.peers) {
      network_.queue.after(peer_latency + network_.faults.peer_message_delay, deliver_frame);
      continue;
    }
    ControllerProcess& partitioned = partition_.peers ? *this : *other;
    if (partitioned.partition_.deliver_on_heal) partitioned.hold(deliver_frame);
  }
}

void ControllerProcess::set_frame_handler(std::function<void(const std::string&)> handler) {
  frame_handler_ = std::move(handler);
}

void ControllerProcess::receive_frame(const std::string& frame) {
  if (is_running() && frame_handler_) frame_handler_(frame);
}

}  // namespace poppystile::simulation
