#ifndef POMELOHINGE_DRIVERS_FRONT_SOCKET_QUEUE_HPP
#define POMELOHINGE_DRIVERS_FRONT_SOCKET_QUEUE_HPP

#include <asio/ip/tcp.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace pomelohinge {

/// Whether the other side has acknowledged all that was written to the socket,
/// or the socket has failed.
inline bool is_delivered(asio::ip::tcp::socket& socket)
{
    int unsent_bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &unsent_bytes) != 0 ||
        unsent_bytes == 0;
}

} // namespace pomelohinge

#endif
