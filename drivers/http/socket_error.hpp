#ifndef POMELOHINGE_DRIVERS_HTTP_SOCKET_ERROR_HPP
#define POMELOHINGE_DRIVERS_HTTP_SOCKET_ERROR_HPP

#include <sys/socket.h>

namespace pomelohinge {

/// Whether a socket has an error that no call has reported yet. Once the peer
/// has ended its output, reads report the end of the input and not a reset that
/// came behind it.
inline bool has_pending_error(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0;
}

} // namespace pomelohinge

#endif
