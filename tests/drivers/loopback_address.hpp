#ifndef POMELOHINGE_TESTS_DRIVERS_LOOPBACK_ADDRESS_HPP
#define POMELOHINGE_TESTS_DRIVERS_LOOPBACK_ADDRESS_HPP

#include <string>
#include <unistd.h>

namespace pomelohinge {

/// A loopback address that differs between processes, so that tests which
/// listen on a fixed port can run beside those of another build.
inline std::string loopback_address()
{
    constexpr int hosts = 250;
    auto const pid = static_cast<int>(getpid());
    return "127.128." + std::to_string(1 + pid / hosts % hosts) + "." +
        std::to_string(1 + pid % hosts);
}

} // namespace pomelohinge

#endif
