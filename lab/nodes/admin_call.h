/// @file
/// Sends one command to a node's admin server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace nettleyoke::lab {

/// Sends one command and calls `on_response` once with the response. On a connection error the response is
/// empty; after a timeout of 2 s it holds what was received so far.
void call_admin(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& endpoint,
                const std::string& command, std::function<void(std::string)> on_response);

}  // namespace nettleyoke::lab
