/// \file
/// Simulated time and calls to the simulated state service, for tests of a single component of a
/// controller.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "simulation/event_queue.hpp"
#include "simulation/state_service.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

/// Writes a record to the state service, unconditionally and without a lease, in place of a
/// controller.
inline void write_record(StateService& service, const std::string& key,
                         const protocol::Json& value) {
  const protocol::Json put = {{"write", key}, {"data", value}};
  service.handle({"POST", "/multi", protocol::Json{{"apply", protocol::Json::array({put})}}.dump()},
                 [](const transport::HttpResponse&) {});
}

/// Runs timers in simulated time and sends every call to the state service, with the configured
/// faults. Runs no callback after its destruction; requests that were already sent still arrive.
class FakeHttpCaller : public transport::Runtime, public transport::HttpCaller {
 public:
  /// Each response is lost with the probability `lost_response_share`.
  FakeHttpCaller(EventQueue& queue, StateService& service, double lost_response_share)
      : queue_(queue), service_(service), lost_response_share_(lost_response_share) {}

  SteadyTime now() const override { return SteadyTime{Seconds{1000 + queue_.now()}}; }
  WallTime wall_now() const override { return WallTime{Seconds{1.7e9 + queue_.now()}}; }
  void after(Seconds delay, std::function<void()> action) override {
    queue_.after(delay, [alive = std::weak_ptr<int>(lifetime_), action = std::move(action)] {
      if (!alive.expired()) action();
    });
  }
  void call(const transport::Endpoint&, transport::HttpRequest request, Seconds timeout,
            std::function<void(transport::HttpResponse)> done) override {
    auto settled = std::make_shared<bool>(false);
    const auto settle = [alive = std::weak_ptr<int>(lifetime_), settled,
                         done = std::move(done)](const transport::HttpResponse& response) {
      if (!alive.expired() && !std::exchange(*settled, true)) done(response);
    };
    queue_.after(timeout, [settle] { settle({}); });
    const bool is_journal_write =
        request.method == "POST" && request.body.find("journal/") != std::string::npos;
    if (is_journal_write && journal_duplicate_delay > Seconds{0})
      queue_.after(journal_duplicate_delay, [&service = service_, request] {
        service.handle(request, [](const transport::HttpResponse&) {});
      });
    const Seconds added = is_journal_write ? journal_write_delay : Seconds{0};
    queue_.after(added + queue_.uniform(min_latency, max_latency),
                 [&queue = queue_, &service = service_, loss_share = lost_response_share_,
                  delay = response_delay, request, settle] {
                   service.handle(request, [&queue, loss_share, delay,
                                            settle](const transport::HttpResponse& response) {
                     if (!queue.chance(loss_share))
                       queue.after(delay, [settle, response] { settle(response); });
                   });
                 });
  }

  /// Added to the latency of the journal's transactions on their way to the service.
  Seconds journal_write_delay{0};
  /// Time after which a second copy of each journal transaction arrives; zero for no copies.
  Seconds journal_duplicate_delay{0};
  /// Added to the latency of every response.
  Seconds response_delay{0};

 private:
  static constexpr Seconds min_latency{0.001}, max_latency{0.02};

  EventQueue& queue_;
  StateService& service_;
  double lost_response_share_;
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace poppystile::simulation
