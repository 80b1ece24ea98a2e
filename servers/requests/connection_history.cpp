#include "servers/requests/connection_history.hpp"

#include <absl/hash/hash.h>
#include <algorithm>

namespace pomelohinge {
namespace {

std::uint64_t hash_of(std::string_view request_id)
{
    return absl::HashOf(
        absl::string_view(request_id.data(), request_id.size()));
}

} // namespace

void connection_history::begin_request(std::string_view request_id)
{
    if (has_request_)
        earlier_.push_back(hash_of(current_));
    has_request_ = true;
    current_ = request_id;
    repeats_request_ = std::find(earlier_.begin(), earlier_.end(),
                           hash_of(current_)) != earlier_.end();
}

answer_owner connection_history::owner_of(std::string_view named_id) const
{
    if (named_id.empty())
        return answer_owner::unnamed;
    if (named_id == current_)
        return answer_owner::current;
    bool const is_earlier = std::find(earlier_.begin(), earlier_.end(),
                                hash_of(named_id)) != earlier_.end();
    return is_earlier ? answer_owner::earlier : answer_owner::foreign;
}

} // namespace pomelohinge
