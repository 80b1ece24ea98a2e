#include "drivers/front/request_buffers.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

constexpr std::chrono::milliseconds retry_after_full{1000};

} // namespace

request_buffers::request_buffers(asio::execution_context& context,
    request_buffer_limits limits, refusal_encoder encode)
    : service(context), limits_(limits), encode_(std::move(encode)),
      small_(limits.total_bytes / small_divisor,
          limits.total_bytes / small_divisor),
      large_(limits.total_bytes - limits.total_bytes / small_divisor,
          limits.total_bytes - limits.total_bytes / small_divisor)
{
}

std::string request_buffers::refuse(
    received_head const& head, std::size_t bytes)
{
    ++refused_;
    if (!encode_)
        return {};
    if (is_too_large(bytes))
        return encode_(head,
            {refusal_kind::body_too_large, outcome::not_run,
                "the request needs more memory than one may have", {}});
    return encode_(head,
        {refusal_kind::overloaded, outcome::not_run,
            "large requests hold the memory for them", retry_after_full});
}

bool request_intake::charge(std::function<void()> on_room)
{
    auto const bytes = scanner_.needed_bytes();
    auto* const budget = &buffers_->budget_for(bytes);
    if (!charge_ || budget != budget_) {
        budget_ = budget;
        charge_ = budget->open("requests");
    }
    return charge_.grow(bytes, std::move(on_room));
}

buffer_charge request_intake::take_charge()
{
    charge_.complete();
    return std::move(charge_);
}

std::string request_intake::refuse()
{
    charge_ = {};
    return buffers_->refuse(scanner_.head(), scanner_.needed_bytes());
}

} // namespace pomelohinge
