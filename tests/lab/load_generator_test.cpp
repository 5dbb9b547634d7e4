// The load generator, with a node that records the calls it receives.
#include "load/load_generator.h"

#include <algorithm>

#include "lab_harness.h"

namespace nettleyoke::lab {
namespace {

// Records its calls, rejects the first `rejection_count` of them and never answers the others.
struct RecordingNode : NodeUnderTest {
  RecordingNode(boost::asio::io_context& loop, std::size_t rejection_count)
      : io(loop), rejections_left(rejection_count) {}
  const char* kind() const override { return "recording"; }
  std::size_t number() const override { return 0; }
  const std::string& zone() const override { return own_zone; }
  void start(const std::string& /*config*/, std::function<void()> /*ready*/) override {}
  void call(const Call& call, std::function<void(CallOutcome)> ended) override {
    calls.push_back(call);
    if (rejections_left == 0) return;  // the load generator must continue without an answer
    --rejections_left;
    boost::asio::post(io, [ended = std::move(ended)] { ended(CallOutcome::kRejected); });
  }
  void shut_down() override {}
  bool has_exited() override { return true; }
  int exit_status() const override { return 0; }
  Usage usage() const override { return {}; }
  std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const override { return std::nullopt; }
  std::string log() const override { return {}; }
  std::size_t unsolicited_responses() const override { return 0; }
  std::optional<std::uint64_t> list_version() const override { return std::nullopt; }

  boost::asio::io_context& io;
  std::size_t rejections_left;
  std::string own_zone = "a";
  std::vector<Call> calls;
};

// Returns the calls of a load of 200 per second for 0.2 s.
std::vector<NodeUnderTest::Call> calls_of(std::uint64_t seed, std::size_t rejection_count) {
  boost::asio::io_context io;
  const node::Clock clock;
  Experiment experiment;
  experiment.seconds = 0.2;
  experiment.classes = {class_spec(Idempotency::kIdempotent), class_spec(Idempotency::kIdempotencyKey)};
  experiment.tenants = {{"acme", 1, 0}, {"birch", 3, 0}};
  InvariantChecker checker(strict_rules(experiment.classes));
  checker.add_node("n0");
  RecordingNode node(io, rejection_count);
  LoadSpec spec;
  spec.per_second = 200;
  spec.retries = 1;
  spec.retry_pause = 0;
  LoadGenerator generator(io, clock, checker, experiment, spec, {&node}, seed);
  generator.start();
  io.run();
  EXPECT_TRUE(generator.is_done());
  EXPECT_EQ(node.calls.size(), generator.arrival_count() + rejection_count);
  return node.calls;
}

TEST(LoadGenerator, NodeNeverAnswers_AllCallsAreSentAndDependOnTheSeedOnly) {
  const auto calls = calls_of(5, 0), again = calls_of(5, 0), others = calls_of(6, 0);
  ASSERT_GT(calls.size(), 10U);
  ASSERT_EQ(calls.size(), again.size());
  for (std::size_t i = 0; i < calls.size(); ++i) {
    EXPECT_EQ(calls[i].id, again[i].id);
    EXPECT_EQ(calls[i].tenant, again[i].tenant);
    EXPECT_EQ(calls[i].idempotency_key.empty(), calls[i].class_number == 0);
  }
  EXPECT_NE(calls[0].id, others[0].id);
}

TEST(LoadGenerator, CallRejected_RetryIsSentWithANewIdAndLessTime) {
  const auto calls = calls_of(5, 1);
  const auto retry = std::find_if(calls.begin(), calls.end(), [](const auto& call) { return call.is_retry; });
  ASSERT_NE(retry, calls.end());
  EXPECT_NE(retry->id, calls[0].id);
  EXPECT_EQ(retry->idempotency_key, calls[0].idempotency_key);
  EXPECT_LE(retry->timeout, calls[0].timeout);
  EXPECT_FALSE(calls[0].is_retry);
}

}  // namespace
}  // namespace nettleyoke::lab
