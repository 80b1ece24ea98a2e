#include "drivers/upstream/upstream_client.hpp"

namespace pomelohinge {

std::string encode_head(
    upstream_request const& request, std::string const& added_headers)
{
    std::string head;
    constexpr std::size_t typical_head_bytes = 512;
    head.reserve(typical_head_bytes);
    head += request.method;
    head += ' ';
    head += request.path;
    head += " HTTP/1.1\r\nHost: ";
    head += request.host;
    head += "\r\n";
    head += added_headers;
    for (auto const& it : request.headers) {
        head += it.name;
        head += ": ";
        head += it.value;
        head += "\r\n";
    }
    bool const has_length = !request.body.empty() || request.method == "POST" ||
        request.method == "PUT" || request.method == "PATCH";
    if (has_length)
        head +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
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
