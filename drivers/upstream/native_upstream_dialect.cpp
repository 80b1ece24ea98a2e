#include "drivers/http/curl_loop.hpp"
#include "drivers/http/header_names.hpp"
#include "drivers/upstream/upstream_dialect.hpp"
#include "servers/requests/refusal.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace pomelohinge {

std::string native_upstream_dialect::added_headers(
    target_record const&, upstream_request const& request)
{
    auto text = fmt::format("{}: {}\r\n{}: {}\r\n", header::request_id,
        request.request_id, header::deadline,
        to_milliseconds(request.time_limit));
    if (!request.organisation.empty())
        text += fmt::format(
            "{}: {}\r\n", header::organisation, request.organisation.text());
    return text;
}

std::string native_upstream_dialect::named_request(
    upstream_answer const& answer)
{
    return pomelohinge::named_request(answer, header::request_id);
}

attempt_result native_upstream_dialect::classify(upstream_answer const& answer)
{
    constexpr int service_unavailable = 503;
    constexpr int first_server_error = 500;
    if (has_conflicting_header(answer, header::outcome))
        return attempt_result::wrong_answer;
    if (find_header(answer.headers, header::outcome) ==
        to_name(outcome::not_run))
        return answer.status == service_unavailable
            ? attempt_result::shed
            : attempt_result::wrong_answer;
    return answer.status >= first_server_error ? attempt_result::server_error
                                               : attempt_result::answered;
}

target_notice native_upstream_dialect::read_notice(
    upstream_answer const& answer)
{
    return pomelohinge::read_notice(answer, header::leaving);
}

std::string named_request(
    upstream_answer const& answer, std::string_view id_header)
{
    // No id contains the separator, so several joined ids equal none.
    return fmt::format(
        "{}", fmt::join(distinct_values(answer.headers, id_header), "\n"));
}

bool has_conflicting_header(
    upstream_answer const& answer, std::string_view name)
{
    return distinct_values(answer.headers, name).size() > 1;
}

target_notice read_notice(
    upstream_answer const& answer, std::string_view leaving_header)
{
    constexpr int service_unavailable = 503;
    target_notice notice;
    notice.leaving = find_header(answer.headers, leaving_header) == "1";
    auto const pause = find_header(answer.headers, header::retry_after);
    if (answer.status != service_unavailable || pause.empty())
        return notice;
    double seconds = 0;
    bool const is_number =
        absl::SimpleAtod({pause.data(), pause.size()}, &seconds);
    if (!is_number || !(seconds >= 0)) {
        notice.unreadable = true;
    } else if (seconds > to_seconds(target_notice::max_pause)) {
        notice.unreadable = true;
        notice.pause = target_notice::default_pause;
    } else {
        notice.pause = from_seconds(seconds);
    }
    return notice;
}

} // namespace pomelohinge
