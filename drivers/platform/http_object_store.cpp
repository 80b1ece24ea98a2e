#include "drivers/platform/http_object_store.hpp"

#include "core/foreign_json.hpp"
#include "core/log.hpp"
#include "drivers/http/store_era_header.hpp"

#include <charconv>
#include <optional>

namespace pomelohinge {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

constexpr duration call_timeout = std::chrono::seconds(2);

/// Time that the answer to a watch may take beyond its long poll timeout.
constexpr duration watch_timeout_margin = std::chrono::seconds(1);

constexpr std::string_view version_header = "Object-Version";
constexpr std::string_view expected_version_header = "Object-Expected-Version";

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

store_status status_of(http_result const& result)
{
    if (result.end != http_end::answered)
        return store_status::unavailable;
    if (result.status == status_conflict)
        return store_status::conflict;
    return result.status == status_ok ? store_status::done
                                      : store_status::unavailable;
}

std::optional<std::uint64_t> find_number(
    nlohmann::json const& object, char const* field)
{
    if (!object.is_object())
        return std::nullopt;
    auto const it = object.find(field);
    if (it == object.end() || !it->is_number_unsigned())
        return std::nullopt;
    return it->get<std::uint64_t>();
}

std::string find_text(nlohmann::json const& object, char const* field)
{
    if (!object.is_object())
        return {};
    auto const it = object.find(field);
    return it != object.end() && it->is_string() ? it->get<std::string>()
                                                 : std::string();
}

watch_reply parse_watch(http_result const& result)
{
    watch_reply reply;
    if (status_of(result) != store_status::done)
        return reply;
    auto const body = read_foreign_json(result.body).value;
    auto const revision = find_number(body, "revision");
    if (!revision || !body.contains("changed") ||
        !body.at("changed").is_array())
        return reply;
    reply.status = store_status::done;
    reply.revision = *revision;
    for (auto const& it : body.at("changed")) {
        auto const version = find_number(it, "version");
        auto const name = find_text(it, "name");
        if (version && !name.empty())
            reply.changed.push_back({name, *version, {}});
        else
            log(log_event::object_unreadable,
                {{"object", name.empty() ? "?" : name},
                    {"findings", "a name and a version are expected"}});
    }
    return reply;
}

} // namespace

std::string http_object_store::url_of(std::string const& name) const
{
    return "http://" + address_ + "/objects/" + name;
}

void http_object_store::get(
    std::string const& name, std::function<void(get_reply)> done)
{
    http_.start(make_own_call(url_of(name), call_timeout),
        [this, name, done = std::move(done)](http_result result) {
            get_reply reply;
            reply.object.name = name;
            if (!note_store_era(result, era_))
                return done(std::move(reply));
            reply.status = status_of(result);
            bool const absent = result.end == http_end::answered &&
                result.status == status_not_found;
            if (absent)
                reply.status = store_status::done;
            if (reply.status == store_status::done && !absent) {
                reply.object.version =
                    parse_number(find_header(result.headers, version_header));
                reply.object.value = std::move(result.body);
            }
            done(std::move(reply));
        });
}

void http_object_store::put(std::string const& name, std::string value,
    std::uint64_t expected_version, std::function<void(put_reply)> done)
{
    auto call = make_own_call(url_of(name), call_timeout);
    call.method = "PUT";
    call.headers.push_back({std::string(expected_version_header),
        std::to_string(expected_version)});
    call.body = value;
    http_.start(std::move(call),
        [this, name, value = std::move(value), expected_version,
            done = std::move(done)](http_result const& result) {
            auto const status = status_of(result);
            if (result.end == http_end::not_sent)
                return done({store_status::unavailable, 0});
            auto const version =
                parse_number(find_header(result.headers, version_header));
            bool const is_uncertain = !note_store_era(result, era_) ||
                status == store_status::unavailable ||
                (status == store_status::done && version == 0);
            if (is_uncertain)
                return read_back(name, value, expected_version, done);
            done({status, version});
        });
}

void http_object_store::read_back(std::string const& name,
    std::string const& value, std::uint64_t expected_version,
    std::function<void(put_reply)> done)
{
    log(log_event::store_write_uncertain, {{"object", name}});
    get(name,
        [value, expected_version, done = std::move(done)](get_reply reply) {
            if (reply.status != store_status::done)
                return done({store_status::unavailable, 0});
            if (reply.object.value == value)
                return done({store_status::done, reply.object.version});
            if (reply.object.version != expected_version)
                return done({store_status::conflict, reply.object.version});
            done({store_status::unavailable, 0});
        });
}

void http_object_store::remove(std::string const& name,
    std::uint64_t expected_version, std::function<void(put_reply)> done)
{
    auto call = make_own_call(url_of(name), call_timeout);
    call.method = "DELETE";
    call.headers.push_back({std::string(expected_version_header),
        std::to_string(expected_version)});
    http_.start(std::move(call),
        [this, done = std::move(done)](http_result const& result) {
            bool const is_current = note_store_era(result, era_);
            done({is_current ? status_of(result) : store_status::unavailable,
                0});
        });
}

void http_object_store::watch(std::string const& prefix, std::uint64_t since,
    duration wait, std::function<void(watch_reply)> done)
{
    auto call = make_own_call("http://" + address_ + "/watch/" + prefix +
            "?since=" + std::to_string(since) +
            "&wait_ms=" + std::to_string(to_milliseconds_rounded_up(wait)),
        wait + watch_timeout_margin);
    http_.start(std::move(call),
        [this, done = std::move(done)](http_result const& result) {
            bool const is_current = note_store_era(result, era_);
            done(is_current ? parse_watch(result) : watch_reply());
        });
}

} // namespace pomelohinge
