/// @file
/// The harness of the tests of a real node: the node as a child process, and servers, discovery agents and
/// clients on loopback sockets.
#pragma once

#include <gtest/gtest.h>  // IWYU pragma: export

#include "harness/connection.h"      // IWYU pragma: export
#include "harness/deployment.h"      // IWYU pragma: export
#include "harness/eventually.h"      // IWYU pragma: export
#include "harness/fake_discovery.h"  // IWYU pragma: export
#include "harness/fake_server.h"     // IWYU pragma: export
#include "harness/full_listener.h"   // IWYU pragma: export
#include "harness/http_text.h"       // IWYU pragma: export
#include "harness/listener.h"        // IWYU pragma: export
#include "harness/node_config.h"     // IWYU pragma: export
#include "harness/node_process.h"    // IWYU pragma: export
