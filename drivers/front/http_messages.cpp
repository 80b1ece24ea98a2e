#include "drivers/front/http_messages.hpp"

#include "drivers/front/front_socket.hpp"
#include "drivers/http/header_names.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <random>

namespace pomelohinge {
namespace {

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_idempotency_key_bytes = 255;
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view entry_question_path = "/.pomelohinge/entries";
constexpr std::string_view data_centre_parameter = "data_centre=";

struct status_row
{
    refusal_kind kind;
    int status;
    std::string_view title;
};

constexpr std::array<status_row, enum_count<refusal_kind>> statuses{{
    {refusal_kind::malformed, 400, "The request is malformed"},
    {refusal_kind::key_missing, 401, "A key is needed"},
    {refusal_kind::key_unknown, 401, "The key is not in force"},
    {refusal_kind::unknown_service, 404, "There is no such service"},
    {refusal_kind::no_route, 404, "There is no such route"},
    {refusal_kind::method_not_allowed, 405, "The method is not allowed"},
    {refusal_kind::body_too_large, 413, "The body is too large"},
    {refusal_kind::deadline_passed, 504, "The deadline has passed"},
    {refusal_kind::rate_exceeded, 429, "The rate is exceeded"},
    {refusal_kind::overloaded, 503, "The upstreams are at their limit"},
    {refusal_kind::no_upstream, 503, "There is no upstream"},
    {refusal_kind::held_back, 503, "The request is held back"},
    {refusal_kind::repeat_running, 409, "The request is running"},
    {refusal_kind::repeat_unknown, 409, "The request may have run"},
    {refusal_kind::repeat_differs, 422, "The key was used otherwise"},
    {refusal_kind::upstream_failed, 502, "The upstream failed"},
    {refusal_kind::answer_too_large, 502, "The answer is too large"},
    {refusal_kind::not_ready, 503, "The system is not ready"},
    {refusal_kind::stopping, 503, "The VM is stopping"},
}};

refusal malformed(std::string detail)
{
    return {refusal_kind::malformed, outcome::not_run, std::move(detail), {}};
}

/// Whether all characters are visible ASCII.
bool is_visible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
        [](unsigned char it) { return it > ' ' && it < 0x7f; });
}

/// Builds an `incoming_request` from the headers of a request, which are added
/// one at a time.
class header_parser
{
public:
    /// Adds a header. Returns a refusal if it is malformed or repeated.
    std::optional<refusal> add(header_field const& field)
    {
        auto& head = parsed.head;
        if (is_same_header(field.name, header::authorization))
            return add_key(field.value);
        if (is_same_header(field.name, header::request_id))
            return add_text(field, head.request_id, max_request_id_bytes);
        if (is_same_header(field.name, header::idempotency_key)) {
            auto refused = add_text(
                field, head.idempotency_key, max_idempotency_key_bytes);
            if (!refused)
                parsed.headers.push_back(field);
            return refused;
        }
        if (is_same_header(field.name, header::deadline))
            return add_deadline(field.value);
        if (is_same_header(field.name, "Host"))
            head.host = field.value.substr(0, field.value.find(':'));
        else if (!is_hop_by_hop(field.name) && !is_set_by_fleet(field.name))
            parsed.headers.push_back(field);
        return std::nullopt;
    }

    incoming_request parsed;

private:
    static bool is_set_by_fleet(std::string_view name)
    {
        return is_same_header(name, header::organisation) ||
            is_same_header(name, header::outcome);
    }

    std::optional<refusal> add_key(std::string_view value)
    {
        if (std::exchange(key_seen_, true))
            return malformed("\"Authorization\" occurs twice");
        if (!value.starts_with(bearer_prefix) ||
            value.size() == bearer_prefix.size())
            return malformed(
                "\"Authorization\" is not of the form \"Bearer KEY\"");
        parsed.head.key = hash_key(value.substr(bearer_prefix.size()));
        return std::nullopt;
    }

    std::optional<refusal> add_text(
        header_field const& field, std::string& out, std::size_t max_bytes)
    {
        if (!out.empty())
            return malformed("\"" + field.name + "\" occurs twice");
        if (field.value.empty() || field.value.size() > max_bytes ||
            !is_visible(field.value))
            return malformed("\"" + field.name + "\" has no valid value");
        out = field.value;
        return std::nullopt;
    }

    std::optional<refusal> add_deadline(std::string_view value)
    {
        if (parsed.head.deadline)
            return malformed("\"Pomelohinge-Deadline-Ms\" occurs twice");
        parsed.head.deadline = parse_milliseconds(value);
        if (!parsed.head.deadline)
            return malformed(
                "\"Pomelohinge-Deadline-Ms\" is not a whole number");
        return std::nullopt;
    }

    bool key_seen_ = false;
};

/// Encodes a delay in whole seconds, rounded up, at least 1.
std::string encode_retry_after(std::chrono::milliseconds value)
{
    return std::to_string(std::max<std::int64_t>(
        1, std::chrono::ceil<std::chrono::seconds>(value).count()));
}

} // namespace

int status_of(refusal const& refused)
{
    return statuses[index_of(refused.kind)].status;
}

std::string problem_body(refusal const& refused)
{
    auto const& row = statuses[index_of(refused.kind)];
    return nlohmann::ordered_json{
        {"type", "urn:pomelohinge:" + std::string(to_name(refused.kind))},
        {"title", row.title}, {"status", row.status},
        {"detail", refused.detail}, {"outcome", to_name(refused.result)}}
        .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

key_hash hash_key(std::string_view key)
{
    key_hash hash{};
    static_assert(hash.size() == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(),
        hash.data());
    return hash;
}

bool is_hop_by_hop(std::string_view name)
{
    constexpr std::array<std::string_view, 11> names{"Connection", "Keep-Alive",
        "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
        "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"};
    return std::any_of(names.begin(), names.end(),
        [&](std::string_view it) { return is_same_header(it, name); });
}

std::optional<std::chrono::milliseconds> parse_milliseconds(
    std::string_view text)
{
    std::int64_t number = 0;
    auto const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return std::chrono::milliseconds(number);
}

std::string make_request_id()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return fmt::format("{:016x}{:016x}", random(), random());
}

parsed_head native_front_dialect::parse(std::string const& method,
    std::string const& target, std::vector<header_field> const& headers)
{
    header_parser parser;
    for (auto const& it : headers)
        if (auto refused = parser.add(it))
            return std::move(*refused);
    if (!from_name<http_method>(method))
        return refusal{refusal_kind::method_not_allowed, outcome::not_run,
            "the method is not known", {}};
    auto& head = parser.parsed.head;
    head.method = method;
    head.target = target;
    if (head.request_id.empty())
        head.request_id = make_request_id();
    return std::move(parser.parsed);
}

refusal_response native_front_dialect::encode_refusal(
    refusal const& refused, std::string const& request_id)
{
    refusal_response encoded{status_of(refused), {}, problem_body(refused)};
    encoded.headers.push_back({"Content-Type", "application/problem+json"});
    encoded.headers.push_back(
        {std::string(header::outcome), std::string(to_name(refused.result))});
    if (!request_id.empty())
        encoded.headers.push_back(
            {std::string(header::request_id), request_id});
    constexpr int too_many_requests = 429;
    constexpr int service_unavailable = 503;
    constexpr std::int64_t default_retry_after_ms = 1000;
    if (encoded.status == too_many_requests ||
        encoded.status == service_unavailable)
        encoded.headers.push_back({std::string(header::retry_after),
            encode_retry_after(refused.retry_after.value_or(
                std::chrono::milliseconds(default_retry_after_ms)))});
    return encoded;
}

bool native_front_dialect::forwards_header(std::string_view name)
{
    return !is_same_header(name, header::request_id);
}

std::vector<header_field> native_front_dialect::answer_headers(
    std::string const& request_id)
{
    return {{std::string(header::request_id), request_id}};
}

std::optional<data_centre_id> native_front_dialect::entry_question(
    std::string const& target)
{
    if (!target.starts_with(entry_question_path))
        return std::nullopt;
    auto const rest =
        std::string_view(target).substr(entry_question_path.size());
    if (rest.empty())
        return data_centre_id();
    if (!rest.starts_with('?'))
        return std::nullopt;
    auto const at = rest.find(data_centre_parameter);
    if (at == std::string_view::npos)
        return data_centre_id();
    auto const value = rest.substr(at + data_centre_parameter.size());
    return data_centre_id(std::string(value.substr(0, value.find('&'))));
}

std::string native_front_dialect::encode_entry_answer(
    entry_answer const& answer)
{
    return nlohmann::ordered_json{{"addresses", answer.addresses},
        {"ttl_seconds", to_seconds(answer.time_to_live)}}
        .dump();
}

std::string const& unparsable_refusal()
{
    static std::string const text = [] {
        refusal const refused{refusal_kind::malformed, outcome::not_run,
            "the request cannot be parsed, is incomplete or exceeds a limit",
            {}};
        auto const body = problem_body(refused);
        return fmt::format("HTTP/1.1 400 Bad Request\r\n"
                           "Content-Type: application/problem+json\r\n"
                           "{}: {}\r\nConnection: close\r\n"
                           "Content-Length: {}\r\n\r\n{}",
            header::outcome, to_name(refused.result), body.size(), body);
    }();
    return text;
}

} // namespace pomelohinge
