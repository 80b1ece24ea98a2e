#ifndef POMELOHINGE_MAIN_STANDARD_STREAMS_HPP
#define POMELOHINGE_MAIN_STANDARD_STREAMS_HPP

#include <cerrno>
#include <fcntl.h>
#include <initializer_list>
#include <unistd.h>

namespace pomelohinge {

/// Opens /dev/null in place of standard streams that are closed, since the
/// next socket would get such a descriptor and log lines would be sent on it.
inline void open_standard_streams()
{
    for (int const it : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
        if (fcntl(it, F_GETFD) == -1 && errno == EBADF &&
            open("/dev/null", O_RDWR) == -1)
            return;
}

} // namespace pomelohinge

#endif
