// One controller's view of time and of the stand-in state service, as long as it lives.
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

// A record as some other node would have written it.
inline void write_record(StateService& service, const std::string& key,
                         const protocol::Json& value) {
  const protocol::Json put = {{"write", key}, {"data", value}};
  service.handle({"POST", "/multi", protocol::Json{{"apply", protocol::Json::array({put})}}.dump()},
                 [](const transport::HttpResponse&) {});
}

class FakeHttpCaller : public transport::Runtime, public transport::HttpCaller {
 public:
  FakeHttpCaller(EventQueue& queue, StateService& service, double lose_answers)
      : queue_(queue), service_(service), lose_answers_(lose_answers) {}

  SteadyTime now() const override { return SteadyTime{Seconds{1000 + queue_.now()}}; }
  WallTime wall_now() const override { return WallTime{Seconds{1.7e9 + queue_.now()}}; }
  void after(Seconds delay, std::function<void()> action) override {
    queue_.after(delay.count(), [mine = std::weak_ptr<int>(alive_), action = std::move(action)] {
      if (!mine.expired()) action();
    });
  }
  void call(const transport::Endpoint&, transport::HttpRequest request, Seconds timeout,
            std::function<void(transport::HttpResponse)> done) override {
    auto settled = std::make_shared<bool>(false);
    const auto settle = [mine = std::weak_ptr<int>(alive_), settled,
                         done = std::move(done)](const transport::HttpResponse& response) {
      if (!mine.expired() && !std::exchange(*settled, true)) done(response);
    };
    queue_.after(timeout.count(), [settle] { settle({}); });
    const bool writes =
        request.method == "POST" && request.body.find("journal/") != std::string::npos;
    if (writes && repeat_after_s > 0)
      queue_.after(repeat_after_s, [&service = service_, request] {
        service.handle(request, [](const transport::HttpResponse&) {});
      });
    const double held_s = writes ? hold_journal_s : 0;
    // What was sent arrives even when its sender has died since.
    queue_.after(held_s + queue_.uniform(0.001, 0.02), [&queue = queue_, &service = service_,
                                                        lose = lose_answers_,
                                                        delay = answer_delay_s, request, settle] {
      service.handle(request,
                     [&queue, lose, delay, settle](const transport::HttpResponse& response) {
                       if (!queue.chance(lose))
                         queue.after(delay, [settle, response] { settle(response); });
                     });
    });
  }

  double hold_journal_s = 0;  // transactions of the journal arrive this much later
  double repeat_after_s = 0;  // and once more after this
  double answer_delay_s = 0;  // every answer comes so much later

 private:
  EventQueue& queue_;
  StateService& service_;
  double lose_answers_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace poppystile::simulation
