#ifndef ACACIADEAL_HTTP_LISTENER_H
#define ACACIADEAL_HTTP_LISTENER_H

#include "base/error.h"
#include "http/httpmessage.h"

#include <boost/asio/ip/tcp.hpp>

namespace acaciadeal {

/// Opens @p acceptor, binds it to @p endpoint and starts listening. With port 0, the operating
/// system chooses a port.
/// Errors: ConnectionFailed. Not thread-safe for one acceptor.
Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace acaciadeal

#endif
