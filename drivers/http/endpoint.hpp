#ifndef POMELOHINGE_DRIVERS_HTTP_ENDPOINT_HPP
#define POMELOHINGE_DRIVERS_HTTP_ENDPOINT_HPP

#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

} // namespace pomelohinge

#endif
