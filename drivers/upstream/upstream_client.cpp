#include "drivers/upstream/upstream_client.hpp"

namespace pomelohinge {

std::string encode_head(
    upstream_request const& order, std::string const& added_headers)
{
    std::string head;
    head.reserve(512);
    head += order.method;
    head += ' ';
    head += order.path;
    head += " HTTP/1.1\r\nHost: ";
    head += order.host;
    head += "\r\n";
    head += added_headers;
    for (auto const& it : order.headers) {
        head += it.name;
        head += ": ";
        head += it.value;
        head += "\r\n";
    }
    bool const has_length = !order.body.empty() || order.method == "POST" ||
        order.method == "PUT" || order.method == "PATCH";
    if (has_length)
        head += "Content-Length: " + std::to_string(order.body.size()) + "\r\n";
    head += "\r\n";
    return head;
}

attempt_result to_attempt_result(exchange_end end)
{
    switch (end) {
    case exchange_end::answered:
        return attempt_result::answered;
    case exchange_end::connect_failed:
        return attempt_result::connect_failed;
    case exchange_end::lost:
        return attempt_result::connection_lost;
    case exchange_end::kept_lost:
        return attempt_result::kept_connection_lost;
    case exchange_end::timed_out:
        return attempt_result::timed_out;
    case exchange_end::unparsable:
        return attempt_result::wrong_answer;
    case exchange_end::too_large:
        return attempt_result::too_large;
    case exchange_end::cancelled:
        return attempt_result::cancelled;
    }
    return attempt_result::connection_lost;
}

} // namespace pomelohinge
