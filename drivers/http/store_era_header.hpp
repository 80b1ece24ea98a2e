#ifndef POMELOHINGE_DRIVERS_HTTP_STORE_ERA_HEADER_HPP
#define POMELOHINGE_DRIVERS_HTTP_STORE_ERA_HEADER_HPP

#include "drivers/http/curl_loop.hpp"

#include <charconv>

namespace pomelohinge {

/// The number of times that a store has been restored from an older copy, in
/// all its answers.
inline constexpr std::string_view store_era_header = "Store-Era";

/// Reads the header of an answer into `era`, the latest era of the store.
/// Returns false if the answer is of an earlier era. An answer without a
/// readable header is of the latest one.
inline bool note_store_era(http_result const& result, std::uint64_t& era)
{
    if (result.end != http_end::answered)
        return true;
    auto const text = trimmed(find_header(result.headers, store_era_header));
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    bool const is_readable =
        !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
    if (!is_readable)
        return true;
    bool const is_earlier = number < era;
    era = std::max(era, number);
    return !is_earlier;
}

} // namespace pomelohinge

#endif
