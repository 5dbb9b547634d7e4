/// @file
/// The simulator adapter as a program: its responses to events, invalid lines, and instances in one process
/// compared with one process each.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct AdapterRun {
  std::vector<std::string> lines;
  std::string errors;
  int exit_code = 0;
};

std::string contents_of(const std::string& path) {
  std::ifstream in(path);
  std::stringstream contents;
  contents << in.rdbuf();
  return contents.str();
}

AdapterRun run_adapter(const std::vector<std::string>& lines) {
  const std::string base = testing::TempDir() + "/adapter_" + std::to_string(getpid());
  {
    std::ofstream in(base + ".in");
    for (const std::string& line : lines) in << line << '\n';
  }
  const std::string command =
      std::string(ADAPTER_PROGRAM) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  AdapterRun result;
  result.exit_code = WEXITSTATUS(std::system(command.c_str()));
  std::istringstream output(contents_of(base + ".out"));
  for (std::string line; std::getline(output, line);) result.lines.push_back(line);
  result.errors = contents_of(base + ".err");
  for (const char* end : {".in", ".out", ".err"}) std::remove((base + end).c_str());
  return result;
}

std::string config_text() {
  return R"({"peersTotal":1,"position":0,"stage":0,"zone":0,"granularity":0.005,"registryMode":"subscribe",)"
         R"("bounds":{"cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,)"
         R"("retryAfter":true,"secondCopies":false},)"
         R"("categories":[{"aim":1.0,"effect":"unsafe","giveUp":2.0,"name":"x","new":1}],)"
         R"("rules":{"askWithin":10.0,"startCapacity":0.2,"rampTime":9.0}})";
}

// An input line: one turn of the simulator.
std::string batch(int turn, double clock, const std::string& nodes) {
  return R"({"clock":)" + std::to_string(clock) + R"(,"turn":)" + std::to_string(turn) + R"(,"nodes":[)" +
         nodes + "]}";
}

// The events that start an instance and list two servers, then `more` events.
std::string open_node(int who, const std::string& more = "", const std::string& config = config_text()) {
  return R"({"who":)" + std::to_string(who) + R"(,"news":[{"kind":"OPEN_INSTANCE","initSeed":)" +
         std::to_string(who + 5) + R"(,"config":)" + config + R"(},)" +
         R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"10.0.0.1:80","mode":"Ready"},)"
         R"({"server":"10.0.0.2:80","mode":"Ready","pack":1,"units":2}]},)"
         R"({"kind":"DIRECTORY_UPDATE","rev":1,"sheet":3,"form":"C"})" +
         more + "]}";
}

bool contains(const std::string& line, const std::string& part) {
  return line.find(part) != std::string::npos;
}

TEST(SimulatorAdapter, RespondsToEachBatchOfEvents) {
  const AdapterRun adapter = run_adapter({
      batch(1, 1, ""),
      batch(2, 1.5, open_node(4)),
      batch(3, 2, R"({"who":4,"news":[{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2,"later":[1]}]})"),
      batch(4, 2.1,
            R"({"who":4,"news":[{"kind":"DONE","txn":"a","server":"10.0.0.1:80",)"
            R"("outcome":"app_error","lag":0.1}]})"),
      batch(5, 2.2,
            R"({"who":4,"news":[{"kind":"GONE","txn":"a"},{"kind":"FIRED","keyBack":77},{"kind":"NEW"}]})"),
  });
  EXPECT_EQ(adapter.exit_code, 0) << adapter.errors;
  ASSERT_EQ(adapter.lines.size(), 5U);
  EXPECT_EQ(adapter.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_EQ(adapter.lines[1], R"({"turn":2,"nodes":[{"who":4,"steps":[{"kind":"TAIL","want":true}]}]})");
  EXPECT_TRUE(contains(adapter.lines[2], R"("kind":"CALL_OUT","txn":"a","server":"10.0.0.)"));
  EXPECT_EQ(adapter.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(adapter.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, RestartWithinABatchDiscardsOpenRequests) {
  const std::string query = R"(,{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2})";
  std::string node = open_node(1, query);
  node.insert(node.find(R"({"kind":"OPEN)"),
              R"({"kind":"QUERY","txn":"old","timeLeft":2},{"kind":"POWER_OFF"},)");
  const AdapterRun adapter = run_adapter({batch(1, 1, open_node(1)), batch(2, 2, node)});
  EXPECT_EQ(adapter.exit_code, 0) << adapter.errors;
  ASSERT_EQ(adapter.lines.size(), 2U);
  EXPECT_FALSE(contains(adapter.lines[1], "\"old\"")) << "a request of the stopped instance is still open";
  EXPECT_TRUE(contains(adapter.lines[1], R"("txn":"a")"));
}

TEST(SimulatorAdapter, ListNumberReusedWithinABatchRefersToTheLatestList) {
  const AdapterRun adapter = run_adapter(
      {batch(1, 1, open_node(1)),
       batch(
           2, 2,
           R"({"who":1,"news":[{"kind":"TABLE","sheet":3,"nodesList":[{"server":"b:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},)"
           R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"c:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},{"kind":"QUERY","txn":"a","timeLeft":2}]})")});
  ASSERT_EQ(adapter.lines.size(), 2U) << adapter.errors;
  EXPECT_TRUE(contains(adapter.lines[1], R"("server":"c:1")"));
}

TEST(SimulatorAdapter, InvalidLineIsReportedAndEndsTheProgram) {
  const auto expect_error = [](const std::string& line, const std::string& turn, const std::string& message) {
    const AdapterRun adapter = run_adapter({line});
    EXPECT_NE(adapter.exit_code, 0);
    EXPECT_TRUE(adapter.lines.empty());
    EXPECT_TRUE(contains(adapter.errors, "nettleyoke_adapter: line 1, turn " + turn + ": "))
        << adapter.errors;
    EXPECT_EQ(std::count(adapter.errors.begin(), adapter.errors.end(), '\n'), 1) << adapter.errors;
    EXPECT_TRUE(contains(adapter.errors, message)) << adapter.errors;
  };
  expect_error(R"({"turn":)", "unknown", "not valid JSON");
  expect_error("[1]", "unknown", "not an object");
  expect_error(R"({"turn":7,"nodes":[]})", "7", "'clock'");
  expect_error(R"({"turn":7,"clock":1})", "7", "'nodes'");
  expect_error(batch(7, 1, R"({"news":[]})"), "7", "'who'");
  expect_error(batch(7, 1, R"({"who":1,"news":[{"txn":"a"}]})"), "7", "'kind'");
  expect_error(batch(7, 1, R"({"who":1,"news":[{"kind":"OPEN_INSTANCE","initSeed":1}]})"), "7", "'config'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","timeLeft":1})")), "7", "'txn'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","txn":"a"})")), "7", "'timeLeft'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","txn":"a","timeLeft":1,"account":-1})")), "7",
               "'account'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"DONE","txn":"a","try":"x","outcome":"delivered"})")),
               "7", "'try'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"DIRECTORY_UPDATE","form":"F","sheet":9})")), "7",
               "'sheet'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"DIRECTORY_UPDATE","form":"Q","sheet":3})")), "7",
               "'form'");
  const std::string table = R"({"kind":"TABLE","sheet":3,"nodesList":[)";
  expect_error(batch(7, 1, R"({"who":1,"news":[)" + table + R"({"server":"a:1","mode":"Odd"}]}]})"), "7",
               "'mode'");
  expect_error(batch(7, 1, R"({"who":1,"news":[)" + table + R"({"mode":"Ready"}]}]})"), "7", "'server'");
  expect_error(R"({"turn":-1,"clock":1,"nodes":[]})", "unknown", "'turn'");
  expect_error(R"({"turn":"7","clock":1,"nodes":[]})", "unknown", "'turn'");
}

// An attempt with an unknown outcome may have run. Events that are out of range, late or repeated cause no
// error.
TEST(SimulatorAdapter, UnusualButValidEventsCauseNoError) {
  const std::string unusual = R"({"kind":"DONE","txn":"a","try":9,"outcome":"delivered"},)"
                              R"({"kind":"DONE","txn":"never","outcome":"expired"},)"
                              R"({"kind":"QUERY","txn":"b","account":99,"profile":99,"timeLeft":2})";
  const std::string unknown = R"({"kind":"DONE","txn":"a","outcome":"from a later wire","lag":0.1})";
  const auto node = [](const std::string& events) { return R"({"who":4,"news":[)" + events + "]}"; };
  const AdapterRun adapter =
      run_adapter({batch(1, 1, open_node(4)), batch(2, 2, node(R"({"kind":"QUERY","txn":"a","timeLeft":2})")),
                   batch(3, 2.1, node(unusual)), batch(4, 2.2, node(unknown)), batch(5, 2.3, node(unknown))});
  EXPECT_EQ(adapter.exit_code, 0) << adapter.errors;
  ASSERT_EQ(adapter.lines.size(), 5U);
  EXPECT_TRUE(contains(adapter.lines[2], R"("kind":"CALL_OUT","txn":"b")"));
  EXPECT_EQ(adapter.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(adapter.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, EndOfInputEndsWithSuccess) { EXPECT_EQ(run_adapter({}).exit_code, 0); }

TEST(SimulatorAdapter, InvalidSettingsAreReportedAsAPanic) {
  const auto expect_panic = [](const std::string& from, const std::string& to, const std::string& message) {
    std::string config = config_text();
    config.replace(config.find(from), from.size(), to);
    const AdapterRun adapter = run_adapter({batch(1, 1, open_node(2, "", config))});
    EXPECT_EQ(adapter.exit_code, 0);
    ASSERT_EQ(adapter.lines.size(), 1U);
    EXPECT_TRUE(contains(adapter.lines[0], R"("kind":"PANIC")")) << adapter.lines[0];
    EXPECT_TRUE(contains(adapter.lines[0], message)) << adapter.lines[0];
  };
  expect_panic(R"("peersTotal":1)", R"("peersTotal":0)", "replica_count");
  expect_panic(R"("position":0)", R"("position":1)", "replica_index");
  expect_panic(R"("aim":1.0)", R"("aim":-1.0)", "latency_objective");
  expect_panic(R"("effect":"unsafe")", R"("effect":"odd")", "effect");
}

// The events of one instance in one turn: a new request, and the result of the request of two turns before.
std::string events_of(int who, int turn) {
  const std::string instance = std::to_string(who);
  const std::string id = instance + "-" + std::to_string(turn);
  const std::string earlier = instance + "-" + std::to_string(turn - 2);
  const std::string outcome = turn % 3 == 0 ? "shed" : "app_error";
  std::string events = R"({"who":)";
  events.append(instance).append(R"(,"news":[{"kind":"QUERY","txn":")").append(id);
  events.append(R"(","timeLeft":2},{"kind":"DONE","txn":")").append(earlier);
  events.append(R"(","outcome":")").append(outcome).append(R"(","lag":0.2}]})");
  return events;
}

std::vector<std::string> lines_for(const std::vector<int>& instances) {
  std::vector<std::string> lines;
  std::string nodes;
  for (const int who : instances) nodes.append(nodes.empty() ? "" : ",").append(open_node(who));
  lines.push_back(batch(1, 1, nodes));
  for (int turn = 2; turn < 60; ++turn) {
    nodes.clear();
    for (const int who : instances) nodes.append(nodes.empty() ? "" : ",").append(events_of(who, turn));
    lines.push_back(batch(turn, 1 + turn * 0.1, nodes));
  }
  return lines;
}

// The actions of all instances in an output line: the text between its outer brackets.
std::string actions_in(const std::string& line) {
  const std::size_t start = line.find('[') + 1;
  return line.substr(start, line.rfind(']') - start);
}

// Instances share no state: the actions of an instance do not depend on the other instances in its process.
TEST(SimulatorAdapter, ActionsAreTheSameInOneProcessAndInThree) {
  const AdapterRun together = run_adapter(lines_for({0, 1, 2}));
  ASSERT_EQ(together.exit_code, 0) << together.errors;
  std::vector<AdapterRun> separate;
  separate.reserve(3);
  for (const int who : {0, 1, 2}) separate.push_back(run_adapter(lines_for({who})));
  for (std::size_t i = 0; i < together.lines.size(); ++i) {
    std::string joined;
    for (const AdapterRun& one : separate) {
      const std::string actions = actions_in(one.lines.at(i));
      if (!actions.empty()) joined.append(joined.empty() ? "" : ",").append(actions);
    }
    EXPECT_EQ(actions_in(together.lines[i]), joined);
  }
}

}  // namespace
