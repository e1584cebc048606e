/// \file
/// Case 6: a question that is still open when another controller confirms a cancellation is
/// answered with an older state, because one controller's state service answers late.
/// Arguments: run command, folder, record, 1 with and 0 without the disruption.
#include "../standins-2/deployment.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  Record::get().open(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  Deployment d(argv[1], argv[2], {});
  d.start_all();
  if (!d.wait_until_up(30)) {
    RECORD("the controllers are not up");
    return 2;
  }
  int older = 0, asked = 0;
  for (int round = 0; round < 5; ++round) {
    const Json spec = Deployment::job("req-00040" + std::to_string(round), "sweep", 2, 2.0);
    const std::string id = spec["id"];
    d.describe(spec, 600);
    if (!d.submit_until_accepted(spec)) return 2;
    sleep_s(1.5);
    const int leader = d.leader();
    const int slow = (leader + 1) % 3;   // A controller that does not lead.
    const int other = (leader + 2) % 3;
    // "now and then a few hundred": every answer of the state service to this controller is 300 ms
    // late. The requests themselves are carried out at once.
    if (trouble) d.state.links[slow]->answer_delay_ms = 300;
    RECORD("round=%d slow=%d late_ms=%d", round, slow, d.state.links[slow]->answer_delay_ms.load());
    sleep_s(1);
    std::atomic<double> told_at{-1};
    std::mutex mutex;
    std::vector<std::thread> questions;
    // The user asks at all nodes, again and again, and cancels meanwhile.
    std::thread cancelling([&] {
      sleep_s(0.15);
      const Response answer = d.cancel(other, id);
      if (answer.status == 200 && Deployment::stage_of(answer) == "aborted") told_at = now_s();
    });
    for (int i = 0; i < 12; ++i) {
      questions.emplace_back([&, i] {
        sleep_s(0.03 * i);
        const int node = i % 3 == 0 ? leader : i % 3 == 1 ? slow : other;
        const double sent = now_s();
        const Response answer = d.show(node, id);
        const double answered = now_s();
        const double told = told_at;
        const std::string stage = Deployment::stage_of(answer);
        const std::lock_guard<std::mutex> lock(mutex);
        ++asked;
        const bool is_older = answer.status == 404 || (answer.status == 200 && stage != "aborted");
        if (told >= 0 && answered > told && is_older) {
          ++older;
          RECORD("BROKEN went_back: node=%d answers %s at %.3f, asked at %.3f; the user was told aborted at %.3f",
                 node, stage.c_str(), answered, sent, told);
        }
      });
    }
    cancelling.join();
    for (auto& each : questions) each.join();
    d.state.links[slow]->answer_delay_ms = 0;
    sleep_s(1);
  }
  RECORD("END asked=%d older=%d", asked, older);
  for (int i = 0; i < 3; ++i) d.stop(i, SIGKILL);
  _exit(older > 0 ? 1 : 0);
}
