// The lab: what its stand-ins show to a node, against the pages, and what it says of rules that are broken.
#include <algorithm>
#include <fstream>

#include "checks/invariant_checker.h"
#include "lab_harness.h"
#include "load/load_generator.h"
#include "run/experiment.h"
#include "stand_ins/discovery_stand_in.h"
#include "stand_ins/server_stand_in.h"

namespace nettleyoke::lab {
namespace {

using Wire = node::Connection;

// ---------------------------------------------------------------- the rules

ClassPlan kind(Idempotency idempotency) {
  ClassPlan out;
  out.name = "look";
  out.idempotency = idempotency;
  out.client_timeout = 2;
  out.dedup_window = 1;
  out.work = 0.0001;
  return out;
}

// One node, two servers and a call of each effect: classes 0, 1, 2.
struct Rules : testing::Test {
  Audit audit{{0.5,
               0.5,
               false,
               {kind(Idempotency::kIdempotent), kind(Idempotency::kIdempotencyKey),
                kind(Idempotency::kNonIdempotent)}}};
  std::size_t node = audit.add_node("n0"), first = audit.add_server("s0"), second = audit.add_server("s1");
  Audit::AttemptNumber number = 0;
  bool open = true;

  void arrive(const std::string& id, std::size_t server, double now) {
    audit.attempt_arrived(
        id, server, now, [this] { return open; }, number);
  }
  std::size_t broken(const std::string& rule) const {
    const auto at = audit.breaks().find(rule);
    return at == audit.breaks().end() ? 0 : at->second;
  }
};

TEST_F(Rules, TwoAttemptsOutAreACopyUnlessTheFirstOnesConnectionIsClosed) {
  audit.call_sent("a", node, 0, 2, 0);
  arrive("a", first, 0.1);
  arrive("a", second, 0.2);
  EXPECT_EQ(broken("copy"), 1U);
  audit.call_sent("b", node, 0, 2, 0);
  arrive("b", first, 0.1);
  open = false;
  arrive("b", second, 0.2);
  EXPECT_EQ(broken("copy"), 1U);
  EXPECT_EQ(audit.calls().at("b").attempts[0].how, AttemptEnd::kGivenUp);
}

TEST_F(Rules, NothingNewToADrainedServerPastItsTime) {
  audit.told(node, "s1", false, 1);
  for (const double now : {0.9, 1.2, 1.5, 1.6}) {
    const std::string id = std::to_string(now);
    audit.call_sent(id, node, 0, 2, now);
    arrive(id, second, now);
  }
  EXPECT_EQ(broken("drain"), 1U);
  EXPECT_NEAR(audit.latest_after_told().at(second), 0.6, 1e-9);
  audit.told(node, "s1", true, 2);
  audit.call_sent("up again", node, 0, 2, 3);
  arrive("up again", second, 3);
  EXPECT_EQ(broken("drain"), 1U);
}

TEST_F(Rules, WhatMayHaveRunIsNotRepeatedPastWhatItsClassAllows) {
  open = false;
  const auto twice = [this](const std::string& id, std::size_t request_class, double later, AttemptEnd how) {
    audit.call_sent(id, node, request_class, 2, 0);
    arrive(id, first, 0);
    audit.attempt_ended(id, number, how, 0.1);
    arrive(id, second, later);
  };
  twice("safe", 0, 1.5, AttemptEnd::kError);
  twice("keyed, within its window", 1, 0.9, AttemptEnd::kError);
  twice("unsafe, turned away", 2, 0.9, AttemptEnd::kTurnedAway);
  EXPECT_EQ(broken("duplicate"), 0U);
  twice("keyed, past its window", 1, 1.1, AttemptEnd::kError);
  twice("unsafe", 2, 0.2, AttemptEnd::kError);
  EXPECT_EQ(broken("duplicate"), 2U);
}

TEST_F(Rules, EachCallHasOneFinalAnswerAndNothingComesAfterIt) {
  audit.call_sent("open to the end", node, 0, 2, 0);
  audit.call_sent("answered", node, 0, 2, 0);
  audit.call_ended("answered", Ending::kFailed, 0.2);
  arrive("answered", first, 0.4);
  EXPECT_EQ(broken("after"), 1U);
  audit.call_ended("answered", Ending::kServed, 0.5);
  EXPECT_EQ(broken("answer"), 1U);
  EXPECT_FALSE(audit.attempt_arrived(
      "nobody's", first, 0.1, [] { return true; }, number));
  EXPECT_EQ(broken("unknown"), 1U);
  audit.close(9);
  EXPECT_EQ(broken("lost"), 1U);
}

// ---------------------------------------------------------------- stand-ins

// What comes up to and with `last`; empty where the connection ends before.
std::string read_until(Wire& wire, const std::string& last) {
  std::string out;
  while (out.find(last) == std::string::npos) {
    const std::string more = wire.read_some();
    if (more.empty()) return {};
    out += more;
  }
  return out;
}

struct StandIns : testing::Test {
  node::Clock clock;
  Audit audit{{0.5, 0.5, false, {kind(Idempotency::kIdempotent)}}};
  std::size_t number = audit.add_node("n0");
  Loop loop;
  ServerStandIn server{
      loop.io(), clock, audit, "s0", {1, 1, 0, 1, 0}, {2, 60}, {kind(Idempotency::kIdempotent)}, 1};
  Agent agent{loop.io(), clock, audit, number, true};
  RequestCatalog catalog;

  void SetUp() override {
    change("s0", "up");
    change("s1", "up");
    loop.start();
  }
  void TearDown() override { loop.stop(); }
  void change(const std::string& name, const std::string& status) {
    catalog.set({name, "127.0.0.1:9", "a", status, 0});
    agent.send(catalog);
  }
  Wire to_agent(const std::string& target) const {
    Wire wire = Wire::to(agent.local().port());
    wire.write("GET /catalog/members" + target + " HTTP/1.1\r\nHost: agent\r\n\r\n");
    return wire;
  }
  Wire to_server() const { return Wire::to(std::stoi(server.address().substr(10))); }
  // The head and body of what a call brings about.
  std::string ask(Wire& wire, const std::string& id) {
    loop.in_loop([&] { audit.call_sent(id, number, 0, 20, clock.now()); });
    return send(wire, id) ? wire.read_message() : "";
  }
  static bool send(Wire& wire, const std::string& id) {
    return wire.write("GET /look/1 HTTP/1.1\r\nHost: s\r\n" +
                      (id.empty() ? "" : "X-Request-ID: " + id + "\r\n") + "X-Timeout-Ms: 20000\r\n\r\n");
  }
  AttemptEnd how(const std::string& id, std::size_t attempt = 0) {
    AttemptEnd out = AttemptEnd::kOut;
    loop.in_loop([&] { out = audit.calls().at(id).attempts.at(attempt).how; });
    return out;
  }
};

TEST_F(StandIns, DiscoveryGivesTheWholeListOrWhatChangedSince) {
  const std::string all = to_agent("").read_message();
  EXPECT_NE(all.find(R"("index":2,"snapshot":true)"), std::string::npos) << all;
  EXPECT_NE(all.find(R"("name":"s0","address":"127.0.0.1:9","zone":"a")"), std::string::npos) << all;
  Wire watch = to_agent("?watch=1&after=1");
  const std::string changed = read_until(watch, "}]}");
  EXPECT_NE(changed.find(R"("index":2,"snapshot":false)"), std::string::npos) << changed;
  EXPECT_EQ(changed.find(R"("name":"s0")"), std::string::npos) << changed;
  loop.in_loop([this] { change("s0", "draining"); });
  const std::string next = read_until(watch, "}]}");
  EXPECT_NE(next.find(R"("index":3,"snapshot":false)"), std::string::npos) << next;
  EXPECT_NE(next.find(R"("status":"draining")"), std::string::npos) << next;
  EXPECT_NE(read_until(watch, "1\r\n\n\r\n"), "");  // an empty line, while nothing changes
  // A version that it never had: the whole list.
  Wire other = to_agent("?watch=1&after=99");
  const std::string whole = read_until(other, "}]}");
  EXPECT_NE(whole.find(R"("index":3,"snapshot":true)"), std::string::npos) << whole;
}

TEST_F(StandIns, DiscoveryThatIsDownSaysNothingAndAnswersAsItIsBack) {
  loop.in_loop([this] {
    agent.set_silent(true);
    change("s1", "removed");
  });
  Wire watch = to_agent("?watch=1&after=2");
  loop.in_loop([this] {
    EXPECT_EQ(agent.index(), 2U);  // it learns nothing
    agent.set_silent(false);
  });
  EXPECT_NE(read_until(watch, "}]}").find(R"("status":"removed")"), std::string::npos);
  loop.in_loop([this] { agent.reset_watches(); });
  EXPECT_EQ(read_until(watch, "never"), "");
}

TEST_F(StandIns, AWatchThatHasStalledTellsNothingAndTheNextOneTellsAll) {
  Wire stalled = to_agent("?watch=1&after=2");
  read_until(stalled, "}");
  loop.in_loop([this] {
    agent.stall_watches();
    change("s0", "draining");
  });
  Wire next = to_agent("?watch=1&after=2");
  EXPECT_NE(read_until(next, "}]}").find(R"("status":"draining")"), std::string::npos);
  read_until(next, "1\r\n\n\r\n");  // an empty line has come here, and there nothing at all
  ::shutdown(stalled.fd(), SHUT_RD);
  EXPECT_EQ(read_until(stalled, "draining"), "");
}

TEST_F(StandIns, AnAgentThatIsCutOffOrLateAnswersWithWhatItHas) {
  const auto index_at = [this](const std::string& target) {
    Wire wire = to_agent(target);
    const std::string list = wire.read_message();
    return list.substr(list.find("index") + 7, 1);
  };
  loop.in_loop([this] {
    agent.set_cut_off(true);
    change("s1", "removed");
  });
  EXPECT_EQ(index_at(""), "2");
  loop.in_loop([this] { agent.set_cut_off(false); });
  EXPECT_EQ(index_at(""), "3");
  loop.in_loop([this] {
    agent.set_delay(3600);
    change("s2", "up");
  });
  EXPECT_EQ(index_at(""), "3");
}

TEST_F(StandIns, AServerAnswersAsThePagesHaveIt) {
  Wire wire = to_server();
  EXPECT_EQ(node::body_of(ask(wire, "r1")), "r1 s0");
  EXPECT_EQ(how("r1"), AttemptEnd::kServed);
  ASSERT_TRUE(send(wire, ""));
  EXPECT_EQ(node::status_of(wire.read_message()), 404);  // no id
  ASSERT_TRUE(send(wire, "nobody's"));
  EXPECT_EQ(node::status_of(wire.read_message()), 400);
  loop.in_loop([this] { server.model().set_failing(true); });
  EXPECT_EQ(node::status_of(ask(wire, "r2")), 500);
  EXPECT_EQ(how("r2"), AttemptEnd::kError);
  // More connections than it takes: turned away unseen.
  Wire second = to_server(), third = to_server();
  ask(second, "r3");
  const std::string away = ask(third, "r4");
  EXPECT_EQ(node::status_of(away), 503);
  EXPECT_EQ(node::field_of(away, "X-Not-Processed"), "1");
  EXPECT_EQ(how("r4"), AttemptEnd::kTurnedAway);
}

TEST_F(StandIns, AServerThatHangsSeesItsNodeGiveUpAndOneThatCrashesResets) {
  loop.in_loop([this] {
    server.model().set_hanging(true);
    for (const char* id : {"r1", "r2"}) audit.call_sent(id, number, 0, 20, clock.now());
  });
  Wire first = to_server(), second = to_server();
  ASSERT_TRUE(send(first, "r1"));
  ASSERT_TRUE(send(second, "r2"));
  const auto arrived = [this](const std::string& id) {
    return node::eventually([&] {
      bool out = false;
      loop.in_loop([&] { out = !audit.calls().at(id).attempts.empty(); });
      return out;
    });
  };
  ASSERT_TRUE(arrived("r1") && arrived("r2"));
  EXPECT_EQ(how("r1"), AttemptEnd::kOut);
  first.close();
  EXPECT_TRUE(node::eventually([&] { return how("r1") == AttemptEnd::kGivenUp; }));
  const int port = std::stoi(server.address().substr(10));
  loop.in_loop([this] { server.crash(); });
  EXPECT_EQ(how("r2"), AttemptEnd::kCut);
  EXPECT_EQ(second.read_message(), "");
  EXPECT_FALSE(Wire::to(port).is_open());
}

TEST(Models, AServerRunsWhatItHasSlotsForHoldsWhatItHasRoomForAndTurnsTheRestAway) {
  boost::asio::io_context io;
  const node::Clock clock;
  ServerModel model(io, clock, {1, 1, 2, 1, 0});
  std::string ends;
  const auto begin = [&](const char* name, double until) {
    return model.begin(0.001, until, [&ends, name](ServerModel::End how) {
      const char* const words[] = {"served", "failed", "turned away", "over"};
      ends += std::string(name) + " " + words[static_cast<std::size_t>(how)] + ", ";
    });
  };
  begin("first", 60);
  begin("second", 0);  // by the time it could run nobody waits for it any more
  const ServerModel::Number third = begin("third", 60);
  begin("fourth", 60);
  model.withdraw(third);
  io.run();
  EXPECT_EQ(ends, "fourth turned away, first served, second over, ");
  EXPECT_EQ(model.running(), 0U);
}

// A node that keeps what it is called with, and answers some: the first so many are refused.
struct CalledNode : PlayedNode {
  explicit CalledNode(boost::asio::io_context& loop, std::size_t refused) : io(loop), left(refused) {}
  const char* kind() const override { return "called"; }
  std::size_t number() const override { return 0; }
  const std::string& zone() const override { return where; }
  void start(const std::string&, std::function<void()>) override {}
  void call(const Call& call, std::function<void(Ending)> ended) override {
    calls.push_back(call);
    if (left == 0) return;  // never answered: the callers go on all the same
    --left;
    boost::asio::post(io, [ended = std::move(ended)] { ended(Ending::kRefused); });
  }
  void end() override {}
  bool has_ended() override { return true; }
  int status() const override { return 0; }
  Usage usage() const override { return {}; }
  std::optional<boost::asio::ip::tcp::endpoint> operators() const override { return std::nullopt; }
  std::string log() const override { return {}; }
  std::size_t stray_answers() const override { return 0; }
  std::optional<std::uint64_t> list_index() const override { return std::nullopt; }

  boost::asio::io_context& io;
  std::size_t left;
  std::string where = "a";
  std::vector<Call> calls;
};

// The calls of 0.2 s at 200 a second.
std::vector<PlayedNode::Call> calls_of(std::uint64_t seed, std::size_t refused) {
  boost::asio::io_context io;
  const node::Clock clock;
  Experiment experiment;
  experiment.seconds = 0.2;
  experiment.classes = {kind(Idempotency::kIdempotent), kind(Idempotency::kIdempotencyKey)};
  experiment.tenants = {{"acme", 1, 0}, {"birch", 3, 0}};
  Audit audit({0.5, 0.5, false, experiment.classes});
  audit.add_node("n0");
  CalledNode node(io, refused);
  CallersPlan plan;
  plan.per_second = 200;
  plan.retries = 1;
  plan.retry_pause = 0;
  Callers callers(io, clock, audit, experiment, plan, {&node}, seed);
  callers.start();
  io.run();
  EXPECT_TRUE(callers.is_done());
  EXPECT_EQ(node.calls.size(), callers.drawn() + refused);
  return node.calls;
}

TEST(OpenLoop, ASeedsCallsAreTheSameAndWaitForNoAnswer) {
  const auto calls = calls_of(5, 0), again = calls_of(5, 0), others = calls_of(6, 0);
  ASSERT_GT(calls.size(), 10U);
  ASSERT_EQ(calls.size(), again.size());
  for (std::size_t i = 0; i < calls.size(); ++i) {
    EXPECT_EQ(calls[i].id, again[i].id);
    EXPECT_EQ(calls[i].tenant, again[i].tenant);
    EXPECT_EQ(calls[i].key.empty(), calls[i].class_number == 0);
  }
  EXPECT_NE(calls[0].id, others[0].id);
}

TEST(OpenLoop, ARefusedCallComesAgainUnderANewIdWithLessTime) {
  const auto calls = calls_of(5, 1);
  const auto again = std::find_if(calls.begin(), calls.end(), [](const auto& call) { return call.is_retry; });
  ASSERT_NE(again, calls.end());
  EXPECT_NE(again->id, calls[0].id);
  EXPECT_EQ(again->key, calls[0].key);
  EXPECT_LE(again->time, calls[0].time);
  EXPECT_FALSE(calls[0].is_retry);
}

// ---------------------------------------------------------------- experiment files

constexpr const char* kGood = R"(seconds = 1.0
[[class]]
name = "look"
effect = "safe"
aim = 0.5
give_up = 1.0
work_ms = 1.0
[[servers]]
count = 2
[[callers]]
per_second = 10.0
)";

// What is wrong with an experiment of this text, less the file's name.
std::string complaint(const std::string& text) {
  const std::string path = testing::TempDir() + "/experiment_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << text;
  std::string out;
  try {
    read_experiment(path);
  } catch (const BadExperiment& problem) {
    out = problem.what();
    EXPECT_EQ(out.compare(0, path.size(), path), 0) << out;
    out.erase(0, path.size());
  }
  std::remove(path.c_str());
  return out;
}

TEST(ExperimentFiles, WhatIsWrongIsNamedWithItsLine) {
  const std::string good = kGood;
  EXPECT_EQ(complaint(good), "");
  EXPECT_EQ(complaint("seconds = 1.0 2"), ":1: " + complaint("seconds = 1.0 2").substr(4));
  EXPECT_EQ(complaint("seconds = \"long\"\n"), ":1: seconds is not a number from 0.1 to 600");
  EXPECT_EQ(complaint(good + "retires = 2\n"), ":12: callers.retires is not a field that is known here");
  EXPECT_EQ(complaint(good + "zone = \"b\"\n"), ":12: callers.zone is not a zone of [nodes] zones");
  EXPECT_EQ(complaint(good + "[[change]]\nat = 0.5\nkind = \"hang\"\nserver = \"s2\"\n"),
            ":15: change.server is not a server (s0, s1 ..., in tier 1 t1-s0 ...)");
  EXPECT_EQ(complaint(good + "[[change]]\nat = 2.0\nkind = \"reset\"\n"),
            ":13: change.at is not a number from 0 to 1");
  EXPECT_EQ(complaint(good + "[[servers]]\ncount = 1\ntier = 2\n"),
            ":8: servers is not servers of tier 0, 1 ... with no tier left out");
  EXPECT_EQ(complaint(good + "[nodes]\ncount = 0\n"),
            ":13: nodes.count is not at least 1, where hollow is 0");
}

}  // namespace
}  // namespace nettleyoke::lab
