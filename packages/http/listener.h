#ifndef ACACIADEAL_HTTP_LISTENER_H
#define ACACIADEAL_HTTP_LISTENER_H

#include "base/error.h"
#include "http/httpmessage.h"

#include <boost/asio/ip/tcp.hpp>

namespace acaciadeal {

/// Opens, binds and listens on @p endpoint; port 0 lets the operating system choose.
/// Errors: ConnectionFailed. Not thread-safe for one acceptor.
Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace acaciadeal

#endif
