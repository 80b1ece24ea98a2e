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

/// What becomes of an answer that is received while a request is under way.
enum class answer_verdict {
    /// It belongs to the request.
    accepted,
    /// It belongs to another one; that of the request may follow.
    skipped,
    /// It cannot be told which request it belongs to.
    rejected,
};

/// The requests that a connection to a target has carried. Targets may send
/// further copies of their answers at any time, so an answer is accepted only
/// if no earlier request of the connection can have caused it.
class connection_history
{
public:
    /// Whether the connection may carry the request. It carries none twice,
    /// since a copy of the first answer would name the second one as well; and
    /// only as many as it remembers.
    bool can_carry(std::string_view request_id) const;

    /// Whether the connection may carry no further request at all.
    bool is_full() const { return earlier_.size() + 1 >= max_requests; }

    /// Records that the connection carries the request from now on.
    void begin_request(std::string_view request_id);

    /// The request that an answer names with `named_id`, which is empty if it
    /// names none.
    answer_owner owner_of(std::string_view named_id) const;

    /// `names_required` is whether the target names the request in each of its
    /// answers. Otherwise one without a name belongs to the only request that
    /// the connection has carried.
    answer_verdict judge(answer_owner owner, bool names_required) const;

    /// The number of requests that the connection carried before the current
    /// one.
    std::size_t earlier_requests() const { return earlier_.size(); }

private:
    /// Limit on the requests of a connection.
    static constexpr std::size_t max_requests = 100;

    bool has_carried(std::string_view request_id) const;

    /// Hashes of the ids of the requests before the current one. If two ids
    /// share a hash, a connection is not reused that could be.
    std::vector<std::uint64_t> earlier_;
    std::string current_;
    bool has_request_ = false;
};

/// How one attempt used its connection.
struct connection_use
{
    /// Number of the connection on its traffic thread; 0 if there was none.
    std::uint64_t connection = 0;
    /// Requests that the connection had carried before.
    std::size_t earlier_requests = 0;
    /// Answers to other requests that were received before the end.
    std::size_t skipped_answers = 0;
    /// The request that the answer names, if there is one.
    answer_owner owner = answer_owner::unnamed;
};

} // namespace pomelohinge

#endif
