#ifndef POMELOHINGE_SERVERS_REQUESTS_CONNECTION_HISTORY_HPP
#define POMELOHINGE_SERVERS_REQUESTS_CONNECTION_HISTORY_HPP

#include "core/name_table.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// The request that an answer on a connection names by its id.
enum class answer_owner {
    /// The request that is under way.
    current,
    /// One that the connection carried before.
    earlier,
    /// One that the connection never carried.
    foreign,
    /// The answer names no request.
    unnamed,
};

template <>
inline constexpr auto name_table<answer_owner> = make_name_table<answer_owner>({
    {answer_owner::current, "current"},
    {answer_owner::earlier, "earlier"},
    {answer_owner::foreign, "foreign"},
    {answer_owner::unnamed, "unnamed"},
});
static_assert(is_ordered<answer_owner>());

/// The requests that a connection to a target has carried.
class connection_history
{
public:
    /// Records that the connection carries the request from now on.
    void begin_request(std::string_view request_id);

    /// The request that an answer names with `named_id`, which is empty if it
    /// names none.
    answer_owner owner_of(std::string_view named_id) const;

    /// Whether the connection carries the current request for the second time
    /// or more.
    bool repeats_request() const { return repeats_request_; }

    /// The number of requests that the connection carried before the current
    /// one.
    std::size_t earlier_requests() const { return earlier_.size(); }

private:
    /// Hashes of the ids of the requests before the current one.
    std::vector<std::uint64_t> earlier_;
    std::string current_;
    bool has_request_ = false;
    bool repeats_request_ = false;
};

/// How one attempt used its connection.
struct connection_use
{
    /// Number of the connection on its traffic thread; 0 if there was none.
    std::uint64_t connection = 0;
    /// Requests that the connection had carried before.
    std::size_t earlier_requests = 0;
    /// Whether it had carried the same request before.
    bool repeats_request = false;
    /// Answers to other requests that were received before the end.
    std::size_t skipped_answers = 0;
    /// The request that the answer names, if there is one.
    answer_owner owner = answer_owner::unnamed;
};

} // namespace pomelohinge

#endif
