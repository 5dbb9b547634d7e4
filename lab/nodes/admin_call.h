/// @file
/// One call on a node's admin line.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace nettleyoke::lab {

/// Sends one command and calls `on_answer` once with what was answered, or with nothing after two seconds.
void call_admin(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& endpoint,
                const std::string& command, std::function<void(std::string)> on_answer);

}  // namespace nettleyoke::lab
