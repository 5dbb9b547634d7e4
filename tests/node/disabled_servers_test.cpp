/// @file
/// The file of disabled servers. In a process takeover, a process of this build shares the file with one of
/// an earlier build. The earlier build in these tests is commit a43169a.
#include "takeover/disabled_servers.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "json_fields.h"

namespace nettleyoke::node {
namespace {

using Servers = std::set<std::string>;

// The file that a process of a43169a wrote after DISABLE of three servers, byte for byte.
constexpr const char* kFileOfA43169a = "{\"disabled\":[\"b\\\"ill\",\"s0\",\"z\xc3\xb6\"]}\n";
const Servers servers_in_that_file{"b\"ill", "s0", "z\xc3\xb6"};

// Does what Bans::read of a43169a did with the bytes of the file; nullopt if it ignored the file.
std::optional<Servers> read_as_a43169a(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  if (!document.HasMember("disabled") || !document["disabled"].IsArray()) return std::nullopt;
  Servers servers;
  for (const json::Value& name : document["disabled"].GetArray()) {
    if (!name.IsString()) return std::nullopt;
    servers.emplace(name.GetString(), name.GetStringLength());
  }
  return servers;
}

class DisabledServersFile : public testing::Test {
 public:
  DisabledServersFile() { std::filesystem::create_directory(directory); }
  ~DisabledServersFile() override { std::filesystem::remove_all(directory); }

 protected:
  std::string read() const {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  const std::string directory = testing::TempDir() + "/disabled_" + std::to_string(getpid());
  const std::string path = directory + "/thymewood-disabled.json";
  boost::asio::io_context io;
  Servers notified;
  DisabledServers servers{io, directory, [this](const Servers& all) { notified = all; }};
};

TEST_F(DisabledServersFile, FileOfEarlierBuild_Loaded_ItsServersAreDisabled) {
  std::ofstream(path) << kFileOfA43169a;
  servers.load();
  EXPECT_EQ(servers.servers(), servers_in_that_file);
  EXPECT_EQ(notified, servers_in_that_file);
}

TEST_F(DisabledServersFile, ServersDisabled_Written_EarlierBuildReadsThem) {
  for (const std::string& name : servers_in_that_file) servers.set_disabled(name, true);
  EXPECT_EQ(read_as_a43169a(read()), servers_in_that_file);
  EXPECT_EQ(read(), kFileOfA43169a) << "byte for byte";
  EXPECT_TRUE(std::filesystem::exists(path + ".lock")) << "the earlier build locks this file";
  servers.set_disabled("s0", false);
  EXPECT_EQ(read_as_a43169a(read()), (Servers{"b\"ill", "z\xc3\xb6"}));
}

TEST_F(DisabledServersFile, OtherProcessHasWritten_ServerDisabled_BothChangesAreKept) {
  servers.load();
  std::ofstream(path) << kFileOfA43169a;
  servers.set_disabled("s1", true);
  Servers all = servers_in_that_file;
  all.insert("s1");
  EXPECT_EQ(servers.servers(), all);
  EXPECT_EQ(read_as_a43169a(read()), all);
}

TEST_F(DisabledServersFile, FileMalformed_Loaded_DisabledServersStay) {
  servers.set_disabled("s0", true);
  for (const char* text : {"", "{", "[1]", R"({"disabled":[7]})", R"({"disabled":"s1"})"}) {
    std::ofstream(path) << text;
    servers.load();
    EXPECT_EQ(servers.servers(), Servers{"s0"}) << text;
  }
}

}  // namespace
}  // namespace nettleyoke::node
