/// @file
/// The defaults and errors of the configuration file, and the division of the descriptor limit.
#include "config.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string_view>

#include "descriptor_budget.h"

namespace nettleyoke::node {
namespace {

constexpr std::string_view kConfig =
    R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","limits":{"sockets":256},)"
    R"("settings":{"position":0,"peersTotal":1,"bounds":{"maxOpen":5},)"
    R"("categories":[{"name":"look","aim":1,"giveUp":2,"effect":"safe"}]}})";

class ConfigFile : public testing::Test {
 public:
  ~ConfigFile() override { std::remove(path.c_str()); }

 protected:
  void write(std::string_view text) const { std::ofstream(path) << text; }
  void write_with(const std::string& replaced, const std::string& replacement) const {
    std::string text(kConfig);
    write(text.replace(text.find(replaced), replaced.size(), replacement));
  }
  // "field|reason|message" of the ConfigError that `read` throws; "none" if it throws none.
  template <typename Read>
  static std::string error_of(const Read& read) {
    try {
      static_cast<void>(read());
    } catch (const ConfigError& error) {
      return error.field() + "|" + error.reason() + "|" + error.what();
    }
    return "none";
  }
  std::string error() const {
    return error_of([this] { return read_config(path, Clock()); });
  }

  const std::string path = testing::TempDir() + "/config_" + std::to_string(getpid()) + ".json";
};

TEST_F(ConfigFile, LimitsLeftOut_Read_DefaultsApply) {
  write(kConfig);
  const Config config = read_config(path, Clock());
  EXPECT_EQ(config.name, "node");
  EXPECT_EQ(config.seed, 255U);
  EXPECT_EQ(config.descriptor_limit, 256U);
  EXPECT_EQ(config.memory_limit_bytes, std::size_t{192} * 1024 * 1024);
  EXPECT_EQ(config.max_open_requests, 5U);
  EXPECT_EQ(config.connect_timeout, 0.25);
  EXPECT_FALSE(config.admin_address);
}

TEST_F(ConfigFile, InvalidField_Read_ErrorNamesFieldAndReason) {
  EXPECT_EQ(error(), "RELAY_CONFIG|cannot read " + path + "|RELAY_CONFIG: cannot read " + path);
  write_with("\"ff\"", "\"fx\"");
  EXPECT_EQ(error(), "seed|must be a hexadecimal number|field 'seed' must be a hexadecimal number");
  write_with("256", "63");
  EXPECT_EQ(error(), "sockets|must be at least 64|field 'sockets' must be at least 64");
  write_with("safe", "odd");
  const std::string effect_error = "categories[].effect is 'odd' and must be safe, keyed or unsafe";
  EXPECT_EQ(error(), "settings|" + effect_error + "|" + effect_error);
  write_with("\"seed\"", R"("known":{},"seed")");
  EXPECT_EQ(error(), "known|field 'index' is missing|known: field 'index' is missing");
}

TEST_F(ConfigFile, KeyMissingInNextFile_Read_ErrorNamesItsPath) {
  write(kConfig);
  const Config in_force = read_config(path, Clock());
  write_with("\"maxOpen\":5", "");
  EXPECT_EQ(error(), "none") << "the first file may omit the key";
  EXPECT_EQ(error_of([&] { return read_next_config(path, Clock(), in_force); }),
            "settings.bounds.maxOpen|is missing|RELAY_CONFIG: field 'settings.bounds.maxOpen' is missing");
}

TEST(DescriptorBudget, ListenerShared_Divided_BothProcessesStayWithinTheLimit) {
  const DescriptorBudget alone = divide_descriptors(1024, false, false);
  EXPECT_EQ(alone.clients, 500U);
  EXPECT_EQ(alone.rejected_clients, 125U);
  EXPECT_EQ(alone.upstream, 375U);
  const DescriptorBudget shared = divide_descriptors(1024, true, true);
  const std::size_t reserved = 24 + 17;  // for the process and for the admin server
  EXPECT_LE(shared.clients + shared.rejected_clients + 2 * (shared.upstream + reserved), 1024U);
  EXPECT_EQ(divide_descriptors(64, true, false).clients, reserved / 2)
      << "a very low limit still leaves some for each part";
}

}  // namespace
}  // namespace nettleyoke::node
