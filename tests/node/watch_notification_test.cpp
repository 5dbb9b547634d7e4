// What may lie between what discovery has to tell and the node's hearing of it, by path: docs/crossings.md
// has the sums. Each path is forced by what discovery does with one call after another, and is over with the
// call that it answers. A busy machine makes single plays longer and none shorter than the sum: where one of
// three keeps the bound the node's own pauses and patience do.
#include <sys/stat.h>

#include <optional>
#include <set>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

using Steady = std::chrono::steady_clock;

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// What discovery does with a call, once it has read it.
enum class Act {
  kReset,    // breaks off
  kSilent,   // says nothing
  kHead,     // the head of an answer, then nothing
  kHalf,     // a half of the list, then nothing
  kTrickle,  // the list, ever slower than it could be waited for
  kBeat,     // one empty line, then nothing
  kBeats     // empty lines alone, for good
};

// Plays a script, an act a call, then answers each call with the list and stays.
class ScriptedDiscovery {
 public:
  ScriptedDiscovery(std::vector<Act> script, std::string members)
      : script_(std::move(script)),
        list_(list(9, true, members) + "\n"),
        listener_([this](Wire& wire) { serve(wire); }) {}
  std::string address() const { return listener_.address(); }
  std::size_t calls() {
    const std::lock_guard lock(mutex_);
    return begun_.size();
  }
  // From `then`, or from the first call, to the one that the list answers.
  double told_after(std::optional<Steady::time_point> then = std::nullopt) {
    if (!eventually([this] { return calls() > script_.size(); })) return 1e9;
    const std::lock_guard lock(mutex_);
    return std::chrono::duration<double>(begun_[script_.size()] - then.value_or(begun_[0])).count();
  }

 private:
  void serve(Wire& wire) {
    if (wire.read_message().empty()) return;
    std::size_t n = 0;
    {
      const std::lock_guard lock(mutex_);
      n = begun_.size();
      begun_.push_back(Steady::now());
    }
    if (n >= script_.size()) {
      wire.write(kHead + chunk(list_));
    } else if (play(wire, script_[n])) {
      return wire.reset();
    }
    wire.read_rest();
  }
  // Whether it is to be broken off then.
  bool play(Wire& wire, Act act) {
    if (act == Act::kSilent) return false;
    if (act == Act::kReset) return true;
    wire.write(kHead);
    if (act == Act::kHalf) wire.write(chunk(list_.substr(0, list_.size() / 2)));
    if (act >= Act::kBeat) wire.write(chunk("\n"));
    const bool goes_on = act == Act::kTrickle || act == Act::kBeats;
    for (std::size_t i = 0; goes_on && !left(wire); ++i)
      wire.write(chunk(act == Act::kBeats ? "\n" : list_.substr(i, i + 2 < list_.size() ? 1 : 0)));
    return false;
  }
  // Whether the node has ended the call; looks for a fifth of a second.
  static bool left(Wire& wire) {
    pollfd wait{wire.fd(), POLLIN, 0};
    return ::poll(&wait, 1, 200) > 0;
  }

  const std::vector<Act> script_;
  const std::string list_;
  std::mutex mutex_;
  std::vector<Steady::time_point> begun_;
  Listener listener_;
};

ConfigText config_of(const std::string& discovery, const char* mode, const std::string& address) {
  ConfigText out;
  out.discovery = discovery;
  out.mode = mode;
  if (!address.empty()) out.known = list(7, true, member("s0", address));
  return out;
}

const std::string kNobody = "127.0.0.1:9";

double since(Steady::time_point then) { return std::chrono::duration<double>(Steady::now() - then).count(); }

int health(int port) {
  Wire client = Wire::to(port);
  client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  return status_of(client.read_message());
}

struct Path {
  const char* name;
  const char* mode;
  std::vector<Act> script = {};
  bool knows_old = false;  // the start: a list of servers that are all gone, else none
};
void PrintTo(const Path& path, std::ostream* out) { *out << path.name; }

// The least of a few plays, or the first within the bound.
void expect_within(double bound, double (*play)(const Path&), const Path& path) {
  double least = 1e9;
  for (int i = 0; i < 3 && least >= bound && !testing::Test::HasFailure(); ++i)
    least = std::min(least, play(path));
  EXPECT_LT(least, bound);
}

const auto kName = [](const auto& with) { return std::string(with.param.name); };
class Told : public testing::TestWithParam<Path> {};
class Moved : public testing::TestWithParam<Path> {};
class Ready : public testing::TestWithParam<Path> {};

// ---------------------------------------------------------------- a watch that ends, and what follows

// Guards against patience and pauses that add up to more than 6 s, after which a change counts as told.
double time_until_told(const Path& path) {
  ScriptedDiscovery discovery(path.script, member("s0", kNobody));
  Program program(config_of(discovery.address(), path.mode, kNobody).text());
  return discovery.told_after();
}
TEST_P(Told, InTime) { expect_within(6, time_until_told, GetParam()); }
INSTANTIATE_TEST_SUITE_P(BehindSilenceAnd, Told,
                         testing::Values(Path{"Silence", "automatic", {Act::kBeat, Act::kSilent}},
                                         Path{"Head", "automatic", {Act::kBeat, Act::kHead}},
                                         Path{"Half", "automatic", {Act::kBeat, Act::kHalf}},
                                         Path{"Trickle", "automatic", {Act::kBeat, Act::kTrickle}},
                                         Path{"HalfWaiting", "subscribe", {Act::kBeat, Act::kHalf}},
                                         Path{"TrickleWaiting", "subscribe", {Act::kBeat, Act::kTrickle}}),
                         kName);

// Guards against a dial that hangs for as long as an open watch may be silent.
double time_until_second_dial(const Path& path) {
  FullListener discovery;
  Program program(config_of(discovery.address(), path.mode, kNobody).text());
  Wire watch(discovery.accept());
  discovery.fill();
  watch.write(kHead + chunk("\n"));
  const auto silent = Steady::now();
  std::set<std::string> dials;
  EXPECT_TRUE(eventually([&] {
    dials.merge(discovery.dials_from());
    return dials.size() >= 2;
  }));
  return since(silent);
}
TEST(Told, BehindSilenceAndADialThatHangs) {
  expect_within(6, time_until_second_dial, {"Dial", "automatic"});
}

// ---------------------------------------------------------------- a reload

// Guards against calls at a new address that add up to more than 4 s, after which a change counts as told.
double time_until_told_by_new(const Path& path) {
  FakeDiscovery old;
  ScriptedDiscovery moved(path.script, member("s0", kNobody));
  ConfigText config = config_of(old.address(), path.mode, kNobody);
  Program program(config.text());
  EXPECT_TRUE(eventually([&] { return !old.calls().empty(); }));
  config.discovery = moved.address();
  const auto hangup = Steady::now();
  program.reload(config.text());
  return moved.told_after(hangup);
}
TEST_P(Moved, InTime) { expect_within(4, time_until_told_by_new, GetParam()); }
INSTANTIATE_TEST_SUITE_P(To, Moved,
                         testing::Values(Path{"Silences", "automatic", {Act::kSilent, Act::kSilent}},
                                         Path{"Halves", "automatic", {Act::kHalf, Act::kHalf}},
                                         Path{"EmptyLinesAlone", "automatic", {Act::kBeats}},
                                         Path{"SilenceWaiting", "subscribe", {Act::kSilent}},
                                         Path{"HalvesWaiting", "subscribe", {Act::kHalf, Act::kHalf}},
                                         Path{"ResetsWaiting", "subscribe",
                                              std::vector<Act>(8, Act::kReset)}),
                         kName);

// Guards against a pause that has grown and goes on: after five resets it is 2 s at least.
double time_until_called_again(const Path& path) {
  ScriptedDiscovery discovery(path.script, member("s0", kNobody));
  const ConfigText config = config_of(discovery.address(), path.mode, kNobody);
  Program program(config.text());
  EXPECT_TRUE(eventually([&] { return discovery.calls() == path.script.size(); }));
  const auto hangup = Steady::now();
  program.reload(config.text());
  return discovery.told_after(hangup);
}
TEST(Moved, NowhereInAPauseThatHasGrown) {
  expect_within(1.5, time_until_called_again, {"Pause", "subscribe", std::vector<Act>(5, Act::kReset)});
}

// Guards against a server that drains and gets what had waited for a dial to it since before.
TEST(Told, OfADrainWhileADialToTheServerIsOut) {
  FullListener server;
  FakeDiscovery discovery;
  ConfigText config = config_of(discovery.address(), "automatic", server.address());
  config.bounds = R"("maxAttempts":3,"dialTimeout":14.0)";
  Program program(config.text());
  server.fill();
  Wire client = Wire::to(program.port());
  client.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.dials() == 1; }));
  ASSERT_TRUE(discovery.say(list(8, false, member("s0", server.address(), "draining"))));
  ASSERT_TRUE(eventually([&] { return health(program.port()) == 503; })) << "the list is taken";
  Wire late(server.accept());
  ASSERT_TRUE(late.is_open());
  EXPECT_EQ(late.read_rest(), "");
  EXPECT_EQ(status_of(client.read_message()), 503) << "it never ran";
}

// ---------------------------------------------------------------- the start

// Guards against a restarted process that is not ready within 10 s, or that then knows nothing but servers
// that were replaced meanwhile.
double time_until_served(const Path& path) {
  FakeServer fresh(replies(200, "new"));
  ScriptedDiscovery discovery(path.script, member("s1", fresh.address()));
  const auto start = Steady::now();
  Program program(config_of(discovery.address(), path.mode, path.knows_old ? kNobody : "").text());
  EXPECT_TRUE(eventually([&] { return health(program.port()) == 200; }));
  int n = 0;
  EXPECT_TRUE(eventually([&] {
    Wire client = Wire::to(program.port());
    client.write(Ask{.id = "s" + std::to_string(++n)}.text());
    return body_of(client.read_message()) == "new";
  }));
  return since(start);
}
TEST_P(Ready, InTime) { expect_within(10, time_until_served, GetParam()); }
INSTANTIATE_TEST_SUITE_P(
    With, Ready,
    testing::Values(Path{"AllReplaced", "automatic", {}, true},
                    Path{"DownAndAnOldList", "subscribe", std::vector<Act>(3, Act::kReset), true},
                    Path{"DownAndNoList", "automatic", std::vector<Act>(9, Act::kReset)},
                    Path{"DownAndNoListWaiting", "subscribe", std::vector<Act>(3, Act::kReset)},
                    Path{"SilenceAndAnOldList", "automatic", std::vector<Act>(4, Act::kSilent), true},
                    Path{"SilenceAndNoList", "automatic", std::vector<Act>(4, Act::kSilent)},
                    Path{"SilenceAndNoListWaiting", "subscribe", {Act::kSilent, Act::kSilent}},
                    Path{"HalvesAndNoList", "automatic", std::vector<Act>(4, Act::kHalf)},
                    Path{"EmptyLinesAndNoList", "automatic", {Act::kBeats}}),
    kName);

TEST(Ready, ByTheListFromBeforeWithDiscoveryDownForGood) {
  Program program(config_of(kNobody, "automatic", kNobody).text());
  EXPECT_TRUE(eventually([&] { return health(program.port()) == 200; }));
}

// A node on the address of another that serves. It calls discovery while it waits for the address.
struct Successor {
  Successor() {
    ConfigText config = first.told;
    config.listen = "127.0.0.1:" + std::to_string(first.program->port());
    config.ops = "127.0.0.1:" + std::to_string(first.program->operators_port());
    config.discovery = discovery.address();
    program = std::make_unique<Program>(config.text(), 0, false);
    EXPECT_TRUE(eventually([&] { return discovery.calls().size() == 1; })) << program->log();
  }
  FakeServer server{replies(200, "ok")};
  FakeDiscovery discovery;
  Deployment first{{&server}, ConfigText{.ops = "127.0.0.1:0"}};
  std::unique_ptr<Program> program;
};

// Guards against a process that finds its address taken by the one before it, which was told to end and has
// clients left, and ends for that.
TEST(Ready, BackToBackWithTheOneBefore) {
  Successor next;
  Wire rests = next.first.client();
  rests.write(Ask{.id = "before"}.text());
  EXPECT_EQ(status_of(rests.read_message()), 200);
  next.first.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return next.program->port() != 0; })) << next.program->log();
  EXPECT_TRUE(eventually([&] { return health(next.program->port()) == 200; }));
  EXPECT_EQ(next.first.program->exit_status(), 0);
  EXPECT_TRUE(eventually([&] { return next.program->operators_port() != 0; })) << next.program->log();
  EXPECT_TRUE(eventually([&] { return next.program->call("READY").starts_with("YES"); }));
}

TEST(Term, WhileTheAddressIsTakenIsAnOrderlyEnd) {
  Successor next;
  next.program->signal(SIGTERM);
  EXPECT_EQ(next.program->exit_status(), 0) << next.program->log();
  EXPECT_EQ(health(next.first.program->port()), 200) << "the one before serves on";
}

// Here as it waits for its configuration, which comes through a pipe.
TEST(Term, BeforeTheConfigurationIsReadIsAnOrderlyEnd) {
  const std::string pipe = testing::TempDir() + "/term_" + std::to_string(getpid());
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  Program program("", 0, false, {{"RELAY_CONFIG", pipe}});
  std::ofstream config(pipe);  // comes to be open once the other side reads
  program.signal(SIGTERM);
  config << config_of(kNobody, "automatic", kNobody).text();
  config.close();
  EXPECT_EQ(program.exit_status(), 0) << program.log();
  std::remove(pipe.c_str());
}

}  // namespace
}  // namespace nettleyoke::node
