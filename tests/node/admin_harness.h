/// @file
/// Helpers for tests that use the admin server: a configuration that has one, and access to the metrics.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "harness/node_config.h"
#include "harness/node_process.h"
#include "rapidjson/document.h"

namespace nettleyoke::node {

inline NodeConfig with_admin_server() { return {.admin = "127.0.0.1:0"}; }

/// All metrics, as the node replies to STATS. Adds a test failure if the reply is malformed.
inline rapidjson::Document metrics_of(const NodeProcess& program) {
  const std::string text = program.admin_command("STATS");
  EXPECT_TRUE(text.size() > 5 && text.substr(text.size() - 5) == "\nEND\n") << text;
  rapidjson::Document metrics;
  metrics.Parse(text.substr(0, text.find('\n')).c_str());
  EXPECT_TRUE(metrics.IsObject()) << text;
  return metrics;
}

/// The value of a numeric metric; -1 if the reply to STATS is malformed.
inline int metric(const NodeProcess& program, const char* name) {
  const rapidjson::Document metrics = metrics_of(program);
  return metrics.IsObject() ? metrics[name].GetInt() : -1;
}

/// The value of a metric for one request class; -1 if the reply to STATS is malformed.
inline int count_by_class(const NodeProcess& program, const char* name, const char* request_class) {
  const rapidjson::Document metrics = metrics_of(program);
  return metrics.IsObject() ? metrics[name][request_class].GetInt() : -1;
}

}  // namespace nettleyoke::node
