#include "http/listener.h"

namespace acaciadeal {

Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    namespace asio = boost::asio;
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    const asio::ip::tcp::endpoint local(address, endpoint.port);
    if (!ec) {
        acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(local, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return failure(ResultCode::ConnectionFailed, ec.message(), toString(endpoint));
    }
    return {};
}

} // namespace acaciadeal
