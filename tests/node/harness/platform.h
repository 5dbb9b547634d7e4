/// @file
/// The platform that runs a process takeover.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <string>

#include "harness/file_descriptor.h"
#include "harness/node_process.h"

namespace nettleyoke::node {

/// Stands in for the platform, which holds the listening socket for clients and the directory of shared
/// state.
struct Platform {
  Platform() : listener(new_tcp_socket()) {
    static std::atomic<int> count = 0;
    directory = testing::TempDir() + "/shared_" + std::to_string(getpid()) + "_" + std::to_string(++count);
    std::filesystem::create_directory(directory);
    EXPECT_GT(listen_on_loopback(listener, 0, 128), 0);
  }
  ~Platform() { std::filesystem::remove_all(directory); }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  StartOptions start_options() const {
    StartOptions options = options_with_inherited_listener(listener);
    options.environment["TMPDIR"] = directory;
    return options;
  }
  /// The name must not change, because processes of an older and a newer build share this file.
  std::string disabled_servers_path() const { return directory + "/thymewood-disabled.json"; }
  FileDescriptor listener;
  std::string directory;
};

}  // namespace nettleyoke::node
