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

bool connection_history::has_carried(std::string_view request_id) const
{
    return std::find(earlier_.begin(), earlier_.end(), hash_of(request_id)) !=
        earlier_.end();
}

bool connection_history::can_carry(std::string_view request_id) const
{
    return !has_request_ ||
        (!is_full() && request_id != current_ && !has_carried(request_id));
}

void connection_history::begin_request(std::string_view request_id)
{
    if (has_request_)
        earlier_.push_back(hash_of(current_));
    has_request_ = true;
    current_ = request_id;
}

answer_owner connection_history::owner_of(std::string_view named_id) const
{
    if (named_id.empty())
        return answer_owner::unnamed;
    if (named_id == current_)
        return answer_owner::current;
    return has_carried(named_id) ? answer_owner::earlier
                                 : answer_owner::foreign;
}

answer_verdict connection_history::judge(
    answer_owner owner, bool names_required) const
{
    switch (owner) {
    case answer_owner::current:
        return answer_verdict::accepted;
    case answer_owner::earlier:
        return answer_verdict::skipped;
    case answer_owner::foreign:
        return earlier_.empty() ? answer_verdict::rejected
                                : answer_verdict::skipped;
    case answer_owner::unnamed:
        break;
    }
    return earlier_.empty() && !names_required ? answer_verdict::accepted
                                               : answer_verdict::rejected;
}

} // namespace pomelohinge
