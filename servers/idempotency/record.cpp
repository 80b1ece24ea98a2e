#include "servers/idempotency/record.hpp"

namespace pomelohinge {

record_outcome evaluate_record(idempotency_record const& found,
    fingerprint repeated_fingerprint, std::int64_t unix_now_ms)
{
    if (found.request_fingerprint != repeated_fingerprint)
        return record_outcome::differs;
    switch (found.state) {
    case record_state::done:
        return record_outcome::done;
    case record_state::started:
        return unix_now_ms < found.ends_at_ms ? record_outcome::running
                                              : record_outcome::unknown;
    case record_state::unknown:
        break;
    }
    return record_outcome::unknown;
}

} // namespace pomelohinge
