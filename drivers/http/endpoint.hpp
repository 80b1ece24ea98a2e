#ifndef POMELOHINGE_DRIVERS_HTTP_ENDPOINT_HPP
#define POMELOHINGE_DRIVERS_HTTP_ENDPOINT_HPP

#include <absl/status/status.h>
#include <algorithm>
#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace pomelohinge {

/// Parses `IP:PORT` with an IPv4 address; `nullopt` if the text is not of that
/// form.
inline std::optional<asio::ip::tcp::endpoint> parse_endpoint(
    std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    asio::error_code ec;
    auto const host =
        asio::ip::make_address_v4(std::string(text.substr(0, colon)), ec);
    std::uint16_t port = 0;
    auto const digits = text.substr(colon + 1);
    auto const read =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    bool const is_port = read.ec == std::errc() &&
        read.ptr == digits.data() + digits.size() && port > 0;
    if (ec || !is_port)
        return std::nullopt;
    return asio::ip::tcp::endpoint(host, port);
}

/// The status of a socket that cannot listen on `address`. It is `kUnavailable`
/// if a later attempt may succeed.
inline absl::Status listen_status(
    std::string const& address, std::error_code ec)
{
    auto const message = "cannot listen on " + address + ": " + ec.message();
    constexpr int passing[] = {
        EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    bool const may_pass = std::find(std::begin(passing), std::end(passing),
                              ec.value()) != std::end(passing);
    return may_pass ? absl::UnavailableError(message)
                    : absl::FailedPreconditionError(message);
}

/// As above, for the exception of a server that could not be opened.
inline absl::Status listen_status(
    std::string const& address, std::exception const& error)
{
    if (auto const* const it = dynamic_cast<std::system_error const*>(&error))
        return listen_status(address, it->code());
    return absl::FailedPreconditionError(
        "cannot listen on " + address + ": " + error.what());
}

} // namespace pomelohinge

#endif
